"""The platform's host list, a source of liveness that is independent of the heartbeats."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.membership.host_list_policy import HostListPolicy
from balsamrail.store import HostDirectory, ListedHost

_MIN_POLL_INTERVAL_S = 5
# The poll rate of all hosts together while they have not read a list yet.
_FLEET_FIRST_POLLS_PER_S = 15


class HostList:
    """Stores the latest list and for how long hosts have been absent from it.

    The list lags behind, so it only counts together with other evidence. Time without a
    successful poll is no evidence: absence is measured up to the last poll.

    :param fleet_size: returns the number of members, which determines the polling interval.
    :param policy: how the platform maintains the list.
    """

    __slots__ = (
        '_environment',
        '_first_read_at',
        '_fleet_size',
        '_host_by_name',
        '_last_listed_at_by_host',
        '_last_read_at',
        '_leaving_addresses',
        '_policy',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        fleet_size: Callable[[], int],
        policy: HostListPolicy,
    ) -> None:
        self._environment = environment
        self._fleet_size = fleet_size
        self._policy = policy
        self._host_by_name: dict[str, ListedHost] = {}
        # Precomputed, since each request looks up the address of each target.
        self._leaving_addresses: frozenset[str] = frozenset()
        self._last_listed_at_by_host: dict[str, float] = {}
        self._first_read_at: float | None = None
        self._last_read_at = environment.clock.monotonic()

    def update(self, hosts: Iterable[ListedHost]) -> None:
        """Replace the list by one that was just read."""
        self._last_read_at = self._environment.clock.monotonic()
        if self._first_read_at is None:
            self._first_read_at = self._last_read_at
        # The absence of a removed host is counted from the first poll that omits it.
        for name in self._host_by_name:
            self._last_listed_at_by_host[name] = self._last_read_at
        self._host_by_name = {listed.host: listed for listed in hosts}
        self._leaving_addresses = frozenset(
            listed.address for listed in self._host_by_name.values() if listed.state == 'leaving'
        )

    def is_unlisted(self, host: str) -> bool:
        """Return whether the platform has removed ``host``, according to the latest list.

        This is never the case if the platform's entries do not expire: a host that the list does
        not contain then registered after it was read.
        """
        was_read = self._policy.entries_expire and self._first_read_at is not None
        return was_read and host not in self._host_by_name

    def absence_s(self, host: str, *, until: float) -> float:
        """Return for how many seconds, up to a monotonic time, the lists have omitted ``host``.

        This is the time from the first to the last of at least two consecutive lists without the
        host, or 0 if there are fewer or the last list contains it.
        """
        if self._first_read_at is None or host in self._host_by_name:
            return 0
        since = self._last_listed_at_by_host.get(host, self._first_read_at)
        return max(0, min(self._last_read_at, until) - since)

    def is_leaving(self, address: str) -> bool:
        """Return whether the platform lists a host or target at ``address`` as leaving."""
        return address in self._leaving_addresses

    def forget(self, host: str) -> None:
        """Discard the absence of a host that was removed from the member table."""
        self._last_listed_at_by_host.pop(host, None)

    def hosts(self) -> list[ListedHost]:
        """Return the latest list."""
        return list(self._host_by_name.values())

    async def poll(self, *, store: HostDirectory) -> None:
        """Poll the list until cancelled, at an interval that bounds the load of the whole fleet."""
        while True:
            try:
                self.update(await store.list_hosts())
            except StoreError as error:
                self._environment.metrics.count('host_list_failures')
                self._environment.log.event('host_list_failed', reason=error.code)
            await self._wait()

    async def _wait(self) -> None:
        """Wait until the next poll is due for the number of members that are known by then."""
        clock = self._environment.clock
        started = clock.monotonic()
        jitter = random.uniform(0.5, 1.5)
        has_read = self._first_read_at is not None
        polls_per_s = self._policy.fleet_polls_per_s if has_read else _FLEET_FIRST_POLLS_PER_S
        while True:
            await asyncio.sleep(_MIN_POLL_INTERVAL_S * jitter)
            if clock.monotonic() - started >= self._fleet_size() / polls_per_s * jitter:
                return

    def dump(self) -> dict[str, Any]:
        """Return a diagnostic snapshot."""
        return {
            'read': self._first_read_at is not None,
            'state_by_host': {name: entry.state for name, entry in self._host_by_name.items()},
        }
