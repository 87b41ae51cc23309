"""The era of the store."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreEra:
    """How often the store has come back from a copy, as told by its answers.

    ``seen_at_wall_s`` is when an answer first told this number, in seconds since the epoch. All
    that the store acknowledged in earlier eras, it acknowledged before.
    """

    number: int = 0
    seen_at_wall_s: float = 0
