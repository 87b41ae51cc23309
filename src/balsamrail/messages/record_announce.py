"""The record announce message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordAnnounce:
    """The sender has the record with this number."""

    number: int
