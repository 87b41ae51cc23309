"""The record request message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordRequest:
    """Asks for the newest record; the sender has number ``have``, 0 for none."""

    have: int
