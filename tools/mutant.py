"""One protecting mechanism, how it is turned off, and the scenario that has to fail then."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Mutant:
    """A replacement of ``old`` by ``new`` in one source file.

    ``old`` must stand in the file exactly once, so that a mutant that no longer fits is noticed.
    """

    mechanism: str
    file: str
    old: str
    new: str
    feature: str
    scenario: str
