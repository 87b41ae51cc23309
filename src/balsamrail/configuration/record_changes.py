"""State transitions of the record. Each raises the record number.

The number is one higher, or in a new era of the store the first of that era, which is above all
numbers of earlier eras, even of records that the store has lost.
"""

from dataclasses import replace
from typing import Any

from balsamrail.configuration.accepted_declaration import AcceptedDeclaration
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.record import Record
from balsamrail.configuration.stopped_trial import StoppedTrial
from balsamrail.configuration.trial import Trial
from balsamrail.store.versions import join_version


def with_declaration(
    record: Record | None,
    *,
    text: dict[str, Any],
    author: str,
    since: float,
    trial: Trial,
    era: int,
) -> Record:
    """Return the record with a new declaration: on trial, or accepted if it needs no trial.

    The first declaration is accepted immediately, since there is none to compare it with. An
    existing candidate is replaced.

    :param era: the era of the store in which it is written.
    """
    if record is None:
        number = _next_number(0, era=era)
        return Record(number=number, accepted=AcceptedDeclaration(revision=1, text=text))
    revision = record.highest_revision + 1
    number = _next_number(record.number, era=era)
    changed = replace(record, number=number, candidate=None, stopped=None)
    if not trial.share and not trial.duration_s:
        return replace(changed, accepted=AcceptedDeclaration(revision=revision, text=text))
    candidate = Candidate(revision=revision, text=text, author=author, since=since, trial=trial)
    return replace(changed, candidate=candidate)


def with_candidate_accepted(record: Record, candidate: Candidate, *, era: int) -> Record:
    """Return the record after a successful trial."""
    accepted = AcceptedDeclaration(revision=candidate.revision, text=candidate.text)
    number = _next_number(record.number, era=era)
    return replace(record, number=number, accepted=accepted, candidate=None)


def with_candidate_stopped(
    record: Record, candidate: Candidate, *, reason: str, era: int
) -> Record:
    """Return the record after a trial that was stopped."""
    stopped = StoppedTrial(revision=candidate.revision, reason=reason)
    number = _next_number(record.number, era=era)
    return replace(record, number=number, candidate=None, stopped=stopped)


def _next_number(number: int, *, era: int) -> int:
    return max(number, join_version(era=era, number=0)) + 1
