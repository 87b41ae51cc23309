"""A complete record."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordFull:
    """The record as JSON.

    ``version`` is its version in the store, 0 if the sender does not know it.
    """

    number: int
    version: int
    record: bytes
