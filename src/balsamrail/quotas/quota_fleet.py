"""The hosts among which quotas are divided."""

import math
from collections.abc import Sequence
from typing import Protocol

from balsamrail.environment import Environment
from balsamrail.membership import Member, Members
from balsamrail.quotas.quota_terms import MAX_RUN_DELAY_S

# The size is needed for each request, and takes time in proportion to the fleet.
_SIZE_INTERVAL_S = 0.25


class QuotaFleet(Protocol):
    """What quotas need to know of the fleet."""

    def serving(self) -> Sequence[str]:
        """Return the hosts that may coordinate, in the view of this host, sorted."""

    def is_running(self, host: str) -> bool:
        """Return whether a host answers, in the view of this host."""

    def size(self) -> int:
        """Return the number of hosts that may run requests, unreachable ones included."""


class MemberQuotaFleet:
    """Reads the member table and the platform's host list."""

    __slots__ = ('_counted_at', '_ended_at_by_host', '_environment', '_members', '_size')

    def __init__(self, *, environment: Environment, members: Members) -> None:
        self._environment = environment
        self._members = members
        self._size = 1
        self._counted_at = -math.inf
        self._ended_at_by_host: dict[str, float] = {}

    def serving(self) -> Sequence[str]:
        """Return the hosts that serve and that nobody suspects."""
        return [member.host for member in self._members.alive() if member.is_serving()]

    def is_running(self, host: str) -> bool:
        """Return whether a host runs and nobody suspects it."""
        member = self._members.get(host)
        return member is not None and member.is_unsuspected()

    def size(self) -> int:
        """Return the number of hosts without those that have been proven to have stopped.

        These count for one more window, as what they ran is still in it.
        """
        now = self._environment.clock.boottime()
        if now - self._counted_at >= _SIZE_INTERVAL_S:
            self._counted_at = now
            self._size = self._count()
        return self._size

    def _count(self) -> int:
        hosts = {listed.host for listed in self._members.host_list.hosts()}
        hosts.add(self._environment.settings.host)
        for member in self._members.known():
            hosts.discard(member.host)
            if self._counts(member):
                hosts.add(member.host)
        return len(hosts)

    def _counts(self, member: Member) -> bool:
        if not self._has_ended(member):
            self._ended_at_by_host.pop(member.host, None)
            return True
        now = self._environment.clock.boottime()
        ended_at = self._ended_at_by_host.setdefault(member.host, now)
        window_s = self._environment.settings.bounds.quota_window_s + MAX_RUN_DELAY_S
        return now - ended_at < window_s

    def _has_ended(self, member: Member) -> bool:
        if member.state != 'gone':
            return False
        has_stopped = self._members.gone_verifier.has_stopped(member.host)
        return has_stopped or self._members.is_proven_gone(member.holder)
