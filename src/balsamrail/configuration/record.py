"""The record: the declaration in force and the one on trial."""

from dataclasses import dataclass, field
from typing import Any

from apischema import schema

from balsamrail.configuration.accepted_declaration import AcceptedDeclaration
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.stopped_trial import StoppedTrial
from balsamrail.documents import decode_value, encode_value
from balsamrail.errors import DocumentError

RECORD_NAME = 'record'


@dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """The value of the store object ``record``. Each change raises ``number``.

    ``mark`` is unique to each write; :class:`balsamrail.store.VerifiedWrite` sets it.
    """

    number: int = field(metadata=schema(min=1))
    accepted: AcceptedDeclaration
    candidate: Candidate | None = None
    stopped: StoppedTrial | None = None
    mark: str = ''

    @property
    def newest(self) -> AcceptedDeclaration | Candidate:
        """The candidate if there is one, else the accepted declaration; the base of edits."""
        return self.candidate or self.accepted

    @property
    def highest_revision(self) -> int:
        """The highest revision in the record. The next submission gets the revision after it."""
        stopped = self.stopped.revision if self.stopped else 0
        return max(self.newest.revision, stopped)


def decode_record(value: Any) -> Record:
    """Decode a record from plain JSON data, without validating the declarations in it.

    :raises DocumentError: if the value is not a valid record.
    """
    record = decode_value(value=value, kind=Record)
    candidate = record.candidate
    if candidate is not None and candidate.revision <= record.accepted.revision:
        raise DocumentError(faults=['$.candidate.revision: not above the accepted revision'])
    return record


def encode_record(record: Record) -> dict[str, Any]:
    """Encode the record as plain JSON data."""
    encoded: dict[str, Any] = encode_value(value=record)
    return encoded
