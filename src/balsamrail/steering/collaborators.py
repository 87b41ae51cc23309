"""What steering uses of the modules around it."""

from collections.abc import Callable
from typing import Protocol

from balsamrail.configuration import Declaration
from balsamrail.membership.member import Member


class DeclarationSource(Protocol):
    """Gives the accepted declaration; the tracker is one."""

    def accepted(self) -> Declaration:
        """Return the declaration in force, raise ``NotReadyError`` if there is none."""

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the record."""


class MemberView(Protocol):
    """Gives the members of the fleet as this host sees them.

    Evidence that a holder is gone has to last for ``grace_s`` seconds to be a proof.
    """

    grace_s: float

    def alive(self) -> list[Member]:
        """Return the members that are alive or only suspected."""

    def own(self) -> Member:
        """Return this host."""

    def proved_gone(self, holder: str) -> bool:
        """Return whether a holder of shares can not run any more."""

    def listed_leaving(self, address: str) -> bool:
        """Return whether the platform lists the address as leaving."""
