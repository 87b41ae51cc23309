"""State transitions of the record. Each increments the record number by one."""

from dataclasses import replace
from typing import Any

from balsamrail.configuration.accepted_declaration import AcceptedDeclaration
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.record import Record
from balsamrail.configuration.stopped_trial import StoppedTrial
from balsamrail.configuration.trial import Trial


def with_declaration(
    record: Record | None, *, text: dict[str, Any], author: str, since: float, trial: Trial
) -> Record:
    """Return the record with a new declaration: on trial, or accepted if it needs no trial.

    The first declaration is accepted immediately, since there is none to compare it with. An
    existing candidate is replaced.
    """
    if record is None:
        return Record(number=1, accepted=AcceptedDeclaration(revision=1, text=text))
    revision = record.highest_revision + 1
    changed = replace(record, number=record.number + 1, candidate=None, stopped=None)
    if not trial.share and not trial.duration_s:
        return replace(changed, accepted=AcceptedDeclaration(revision=revision, text=text))
    candidate = Candidate(revision=revision, text=text, author=author, since=since, trial=trial)
    return replace(changed, candidate=candidate)


def with_candidate_accepted(record: Record, candidate: Candidate) -> Record:
    """Return the record after a successful trial."""
    accepted = AcceptedDeclaration(revision=candidate.revision, text=candidate.text)
    return replace(record, number=record.number + 1, accepted=accepted, candidate=None)


def with_candidate_stopped(record: Record, candidate: Candidate, *, reason: str) -> Record:
    """Return the record after a trial that was stopped."""
    stopped = StoppedTrial(revision=candidate.revision, reason=reason)
    return replace(record, number=record.number + 1, candidate=None, stopped=stopped)
