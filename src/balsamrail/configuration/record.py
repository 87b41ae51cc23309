"""The record: which declaration is in force and which one is on trial."""

from dataclasses import dataclass, field
from typing import Any

from apischema import schema

from balsamrail.configuration.accepted_text import AcceptedText
from balsamrail.configuration.candidate import Candidate
from balsamrail.configuration.stopped import Stopped
from balsamrail.documents import decode_value, encode_value
from balsamrail.errors import DocumentError

RECORD_NAME = 'record'


@dataclass(slots=True, kw_only=True, frozen=True)
class Record:
    """The value of the store object ``record``. Each write adds one to ``number``.

    ``mark`` is unique to a write; :class:`balsamrail.store.SettledWrite` sets it.
    """

    number: int = field(metadata=schema(min=1))
    accepted: AcceptedText
    candidate: Candidate | None = None
    stopped: Stopped | None = None
    mark: str = ''

    @property
    def newest(self) -> AcceptedText | Candidate:
        """The text that a further change is edited from."""
        return self.candidate or self.accepted

    @property
    def highest_revision(self) -> int:
        """The highest revision that the record names; the next text gets one above it."""
        stopped = self.stopped.revision if self.stopped else 0
        return max(self.newest.revision, stopped)


def decode_record(value: Any) -> Record:
    """Read a record from plain JSON data. The declarations in it are not checked.

    :raises DocumentError: if it is not a record.
    """
    record = decode_value(value=value, kind=Record)
    candidate = record.candidate
    if candidate is not None and candidate.revision <= record.accepted.revision:
        raise DocumentError(faults=['$.candidate.revision: not above the accepted revision'])
    return record


def encode_record(record: Record) -> dict[str, Any]:
    """Return the record as plain JSON data."""
    encoded: dict[str, Any] = encode_value(value=record)
    return encoded
