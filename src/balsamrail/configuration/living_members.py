"""What judging a trial uses of the member table."""

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from balsamrail.membership.member import Member


class LivingMembers(Protocol):
    """Names the members that are alive."""

    def alive(self) -> 'list[Member]':
        """Return the members that are alive, this host included."""
