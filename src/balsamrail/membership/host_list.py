"""The platform's list of hosts as a second opinion on who is live."""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.store import HostSource, ListedHost

# All hosts together make about 15 list calls/s, whatever the size of the fleet: 920 hosts poll
# every 61 s on average, and up to 75 hosts poll every 5 s (9 hosts: 1.8 calls/s).
_FLEET_CALLS_PER_S = 15
_SHORTEST_INTERVAL_S = 5


class HostList:
    """Keeps the last list and how long hosts have been missing from it.

    The list lags, so it only counts together with other evidence. Time without a successful poll
    proves nothing: absence is measured up to the last poll.

    :param fleet_size: the number of members, which sets the polling interval.
    """

    __slots__ = (
        '_environment',
        '_first_at',
        '_fleet_size',
        '_host_by_name',
        '_last_at',
        '_leaving',
        '_seen',
    )

    def __init__(self, *, environment: Environment, fleet_size: Callable[[], int]) -> None:
        self._environment = environment
        self._fleet_size = fleet_size
        self._host_by_name: dict[str, ListedHost] = {}
        # Asked for each target by each request, so the list is not searched then.
        self._leaving: frozenset[str] = frozenset()
        self._seen: dict[str, float] = {}
        self._first_at: float | None = None
        self._last_at = environment.clock.monotonic()

    def observe(self, hosts: Iterable[ListedHost]) -> None:
        """Take over a list that was just read."""
        self._last_at = self._environment.clock.monotonic()
        if self._first_at is None:
            self._first_at = self._last_at
        # A host that leaves the list is absent from the first poll that misses it.
        for name in self._host_by_name:
            self._seen[name] = self._last_at
        self._host_by_name = {listed.host: listed for listed in hosts}
        self._leaving = frozenset(
            listed.address for listed in self._host_by_name.values() if listed.state == 'leaving'
        )

    def misses(self, host: str) -> bool:
        """Tell whether a list was read and does not hold ``host``."""
        return self._first_at is not None and host not in self._host_by_name

    def absent_s(self, host: str, *, until: float) -> float:
        """Return for how long answers have missed ``host`` up to a time of the loop.

        It is the time from the first to the last of at least two answers in a row without the
        host, and 0 if there are no two or the last one holds it.
        """
        if self._first_at is None or host in self._host_by_name:
            return 0
        since = self._seen.get(host, self._first_at)
        return max(0, min(self._last_at, until) - since)

    def is_leaving(self, address: str) -> bool:
        """Tell whether the platform lists a host or target at ``address`` as leaving."""
        return address in self._leaving

    def forget(self, host: str) -> None:
        """Drop what is known of a host that the member table no longer holds."""
        self._seen.pop(host, None)

    def hosts(self) -> list[ListedHost]:
        """Return the last list."""
        return list(self._host_by_name.values())

    async def poll(self, *, store: HostSource) -> None:
        """Read the list for ever, at a rate that suits the whole fleet."""
        while True:
            try:
                self.observe(await store.list_hosts())
            except StoreError as error:
                self._environment.metrics.count('host_list_failures')
                self._environment.log.event('host_list_failed', reason=error.code)
            mean_s = max(_SHORTEST_INTERVAL_S, self._fleet_size() / _FLEET_CALLS_PER_S)
            await asyncio.sleep(mean_s * random.uniform(0.5, 1.5))

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'read': self._first_at is not None,
            'state_by_host': {name: entry.state for name, entry in self._host_by_name.items()},
        }
