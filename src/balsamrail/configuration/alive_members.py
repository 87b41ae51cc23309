"""The part of the member table that the evaluation of trials uses."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamrail.membership.member import Member


class AliveMembers(Protocol):
    """Provides the members that are alive."""

    def alive(self) -> 'list[Member]':
        """Return the members that are alive, this host included."""
