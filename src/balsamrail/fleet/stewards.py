"""Decides which host assigns the objects of a region."""

from collections.abc import Iterable

from balsamrail.membership import Member

_SUSPECT = 'suspect'


def steward_of(members: Iterable[Member], *, region: str) -> str | None:
    """Return the host that assigns a region's objects, ``None`` if the region has no host.

    It is the one that has run longest, since it knows the present assignment. All hosts that see the same members agree. Two stewards at a time do no harm: hosts follow the
    one that they see, and an object is at most placed twice for a moment.
    """
    near = [member for member in members if member.region == region]
    trusted = [member for member in near if member.state != _SUSPECT] or near
    if not trusted:
        return None
    return min(trusted, key=lambda member: (member.incarnation, member.host)).host
