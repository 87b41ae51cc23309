"""Announcement of a record number."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordAnnounce:
    """Announces that the sender has the record with this number."""

    number: int
