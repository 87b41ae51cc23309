"""The record that is in effect on this host."""

import json
from collections.abc import Callable
from typing import Any

from balsamrail.configuration.checks import load_declaration
from balsamrail.configuration.declaration import Declaration
from balsamrail.configuration.record import Record, decode_record
from balsamrail.configuration.trial_share import is_on_trial
from balsamrail.environment import Environment
from balsamrail.errors import DocumentError, NotReadyError
from balsamrail.store.versions import split_version

_MAX_REMEMBERED_REFUSALS = 100


class Tracker:
    """Holds the record with the highest number among those offered, in any order.

    A record that is invalid, or whose accepted revision is lower than the one in force, is
    rejected and the current one stays in effect. Revisions are given out again in a new era of the
    store, which its record number tells, so they are compared within an era. ``version`` is the record's version in the
    store, 0 if it was received from a peer only.
    """

    __slots__ = (
        '_accepted',
        '_candidate',
        '_environment',
        '_listeners',
        '_refused',
        'record',
        'version',
    )

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._accepted: Declaration | None = None
        self._candidate: Declaration | None = None
        self._listeners: list[Callable[[], None]] = []
        self._refused: dict[tuple[int, str], None] = {}
        self.record: Record | None = None
        self.version = 0

    @property
    def number(self) -> int:
        """The number of the record, 0 if there is none yet."""
        return self.record.number if self.record else 0

    def offer(self, value: Any, *, version: int) -> bool:
        """Adopt a record if its number is higher and it is valid; return whether it was adopted.

        :param value: the record as plain JSON data.
        :param version: its version in the store, 0 if unknown.
        """
        number = value.get('number') if isinstance(value, dict) else None
        if type(number) is int and number <= self.number:
            if number == self.number:
                self.version = max(self.version, version)
            return False
        try:
            self._adopt(decode_record(value))
        except (DocumentError, RecursionError) as error:
            self._refuse(version=version, number=number, error=error)
            return False
        self.version = version
        self._environment.metrics.count('records_adopted')
        self._environment.log.event('record_adopted', number=self.number, version=version)
        for listener in self._listeners:
            listener()
        return True

    def accepted(self) -> Declaration:
        """Return the declaration in force.

        :raises NotReadyError: if no record has been adopted yet.
        """
        if self._accepted is None:
            raise NotReadyError(detail='the host has no declaration yet')
        return self._accepted

    def for_caller(self, caller: str) -> tuple[int, Declaration]:
        """Return revision and declaration for a caller: the candidate if the caller is on trial.

        :param caller: the caller's IP address.
        :raises NotReadyError: if no record has been adopted yet.
        """
        accepted = self.accepted()
        if self.record is None:
            raise NotReadyError(detail='the host has no declaration yet')
        trial = self.record.candidate
        if trial is None or self._candidate is None:
            return self.record.accepted.revision, accepted
        if is_on_trial(caller=caller, revision=trial.revision, share=trial.trial.share):
            return trial.revision, self._candidate
        return self.record.accepted.revision, accepted

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each adoption."""
        self._listeners.append(changed)

    def dump(self) -> dict[str, Any]:
        """Return numbers and revisions as plain data."""
        record = self.record
        return {
            'number': self.number,
            'version': self.version,
            'accepted_revision': record.accepted.revision if record else None,
            'candidate_revision': record.candidate.revision
            if record and record.candidate
            else None,
            'stopped': record.stopped.reason if record and record.stopped else None,
        }

    def _adopt(self, record: Record) -> None:
        current = self.record
        if (
            current is not None
            and split_version(record.number)[0] == split_version(current.number)[0]
            and record.accepted.revision < current.accepted.revision
        ):
            fault = f'{record.accepted.revision} is below {current.accepted.revision}'
            raise DocumentError(faults=[f'$.accepted.revision: {fault}'])
        accepted = _load(record.accepted.text)
        candidate = _load(record.candidate.text) if record.candidate else None
        self.record, self._accepted, self._candidate = record, accepted, candidate

    def _refuse(self, *, version: int, number: object, error: Exception) -> None:
        self._environment.metrics.count('records_refused')
        refusal = (version, str(number))
        if refusal in self._refused:
            return
        if len(self._refused) >= _MAX_REMEMBERED_REFUSALS:
            self._refused.pop(next(iter(self._refused)))
        self._refused[refusal] = None
        self._environment.log.event(
            'record_refused', version=version, number=number, kept=self.number, reason=error
        )


def _load(text: dict[str, Any]) -> Declaration:
    return load_declaration(json.dumps(text))
