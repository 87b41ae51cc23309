"""Selects the host through which a request is sent."""

import random
from collections import Counter
from collections.abc import Collection
from typing import Protocol

from balsamrail.environment import Environment
from balsamrail.membership.member import Member

# How long a host that refused all requests, or accepted no connection, is not asked again.
_UNUSABLE_S = 1.0
_CHOICES = 2


class MemberSource(Protocol):
    """Read access to the member table."""

    def advertised(self) -> list[Member]:
        """Return the members that are believed to be serving requests."""


class ProxyHostSelector:
    """Selects hosts that reach targets, near ones first.

    Hosts of the own availability zone precede those of the own region and all others, since each
    step makes the response slower and its bytes more expensive. Of two random hosts at the same
    distance, the one with fewer requests of this host in flight is used. Hosts that announced that
    they reach few targets themselves are not used, nor are hosts outside the regions to which a
    route is confined.

    :param members: provides the hosts and their states.
    """

    __slots__ = ('_environment', '_in_flight_by_host', '_members', '_unusable_until_by_host')

    def __init__(self, *, environment: Environment, members: MemberSource) -> None:
        self._environment = environment
        self._members = members
        self._in_flight_by_host: Counter[str] = Counter()
        self._unusable_until_by_host: dict[str, float] = {}

    def select(
        self, *, allowed_regions: Collection[str], excluded: Collection[str]
    ) -> Member | None:
        """Return the host for a request, ``None`` if there is none.

        :param allowed_regions: the regions in which the request may be processed; empty if all.
        :param excluded: the hosts that have been asked already.
        """
        usable = [
            member
            for member in self._members.advertised()
            if member.host not in excluded
            and self._is_usable(member)
            and (not allowed_regions or member.region in allowed_regions)
        ]
        if not usable:
            return None
        nearest = min(map(self._distance, usable))
        near = [member for member in usable if self._distance(member) == nearest]
        choices = random.sample(near, min(_CHOICES, len(near)))
        return min(choices, key=lambda member: self._in_flight_by_host[member.host])

    def note_unusable(self, host: str) -> None:
        """Record that a host refuses all requests, or cannot be reached."""
        now = self._environment.clock.monotonic()
        self._unusable_until_by_host[host] = now + _UNUSABLE_S

    def begin(self, host: str) -> None:
        """Record that a request is sent to a host."""
        self._in_flight_by_host[host] += 1

    def end(self, host: str) -> None:
        """Record the end of a request at a host."""
        self._in_flight_by_host[host] -= 1
        if not self._in_flight_by_host[host]:
            del self._in_flight_by_host[host]

    def dump(self) -> dict[str, int]:
        """Return the number of requests in flight by host."""
        return dict(self._in_flight_by_host)

    def _is_usable(self, member: Member) -> bool:
        if member.host == self._environment.settings.host or member.state != 'alive':
            return False
        until = self._unusable_until_by_host.get(member.host)
        if until is None:
            return True
        if self._environment.clock.monotonic() < until:
            return False
        del self._unusable_until_by_host[member.host]
        return True

    def _distance(self, member: Member) -> int:
        settings = self._environment.settings
        if member.availability_zone == settings.availability_zone:
            return 0
        return 1 if member.region == settings.region else 2
