"""Request for the newest record."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordRequest:
    """Requests the newest record; ``have`` is the sender's record number, 0 for none."""

    have: int
