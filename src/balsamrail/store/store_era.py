"""The era of the store."""

from dataclasses import dataclass

from balsamrail.store.versions import join_version


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreEra:
    """How often the store has come back from a copy, as told by its answers.

    ``seen_at_wall_s`` is when an answer first told this number, in seconds since the epoch. All
    that the store acknowledged in earlier eras, it acknowledged before.
    """

    number: int = 0
    seen_at_wall_s: float = 0

    @property
    def absent_version(self) -> int:
        """The version of an object that does not exist in this era."""
        return join_version(era=self.number, number=0)
