"""Result of a successful submission."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Submitted:
    """The number of the record with the declaration, and the declaration's revision.

    ``accepted`` is false while the declaration is on trial.
    """

    number: int
    revision: int
    accepted: bool
