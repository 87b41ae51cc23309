"""A protective mechanism, the change that disables it, and the scenario that must then fail."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Mutant:
    """A replacement of ``old`` by ``new`` in one source file.

    ``old`` must occur in the file exactly once, so that an outdated mutant is detected.
    """

    mechanism: str
    file: str
    old: str
    new: str
    feature: str
    scenario: str
