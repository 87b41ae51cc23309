"""A patch between two records."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RecordPatch:
    """A JSON merge patch from record ``base`` to record ``number``."""

    base: int
    number: int
    patch: bytes
