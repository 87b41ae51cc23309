"""Interfaces of the other modules that steering depends on."""

from collections.abc import Callable
from typing import Protocol

from balsamrail.configuration import Declaration
from balsamrail.membership.member import Member


class DeclarationSource(Protocol):
    """Source of the accepted declaration; implemented by the tracker."""

    def accepted(self) -> Declaration:
        """Return the declaration in force.

        :raises NotReadyError: if there is none.
        """

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Call ``changed`` after each change of the declaration record."""


class MemberView(Protocol):
    """The fleet membership as this host sees it.

    A holder is proved gone once the evidence for it has lasted ``grace_period_s`` seconds.
    """

    grace_period_s: float

    def alive(self) -> list[Member]:
        """Return the members that are alive or suspect."""

    def local_member(self) -> Member:
        """Return this host."""

    def is_proven_gone(self, holder: str) -> bool:
        """Return whether a holder of shares is proved to have stopped."""

    def is_listed_as_leaving(self, address: str) -> bool:
        """Return whether the platform lists the target at ``address`` as leaving."""
