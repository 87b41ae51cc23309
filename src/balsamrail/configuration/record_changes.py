"""The changes that a write of the record can make. Each adds one to the number."""

from dataclasses import replace
from typing import Any

from balsamrail.configuration.accepted_text import AcceptedText
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.record import Record
from balsamrail.configuration.stopped import Stopped
from balsamrail.configuration.trial import Trial


def with_text(
    record: Record | None, *, text: dict[str, Any], author: str, since: float, trial: Trial
) -> Record:
    """Return the record with a new text: on trial, or accepted if it needs no trial.

    The first text is accepted at once, since there is nothing to compare it with. A text that
    was on trial is replaced.
    """
    if record is None:
        return Record(number=1, accepted=AcceptedText(revision=1, text=text))
    revision = record.highest_revision + 1
    changed = replace(record, number=record.number + 1, candidate=None, stopped=None)
    if not trial.share and not trial.duration_s:
        return replace(changed, accepted=AcceptedText(revision=revision, text=text))
    candidate = Candidate(revision=revision, text=text, author=author, since=since, trial=trial)
    return replace(changed, candidate=candidate)


def with_candidate_accepted(record: Record, candidate: Candidate) -> Record:
    """Return the record after a trial that was not stopped."""
    accepted = AcceptedText(revision=candidate.revision, text=candidate.text)
    return replace(record, number=record.number + 1, accepted=accepted, candidate=None)


def with_candidate_stopped(record: Record, candidate: Candidate, *, reason: str) -> Record:
    """Return the record after a trial that was stopped."""
    stopped = Stopped(revision=candidate.revision, reason=reason)
    return replace(record, number=record.number + 1, candidate=None, stopped=stopped)
