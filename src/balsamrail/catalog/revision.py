"""A revision of the platform's store."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Revision:
    """A position in the changes of the store, ordered by era and then by number.

    :param era: rises each time that the store comes back from an older copy, so that the numbers
        since that copy are given out again; 0 if it is not known.
    :param number: the store's counter of changes.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        """Return the era and the number, for logs."""
        return f'{self.era}.{self.number}'
