"""Registers this host in the list of hosts."""

import asyncio
import random
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.membership import Members
from balsamrail.store import HostDirectory, ListedHost

_RETRY_INTERVAL_S = 1
# Spreads the calls of all hosts of a fleet.
_REPEAT_SPREAD_S = 3.0


class Announcer:
    """Registers this host as live, retrying until the store accepts the entry.

    The store can lose the entry, so that the host registers again at :meth:`announce_again`.
    """

    __slots__ = ('_environment', '_is_due', '_is_listed', '_members', '_store')

    def __init__(
        self, *, environment: Environment, members: Members, store: HostDirectory
    ) -> None:
        self._environment = environment
        self._members = members
        self._store = store
        self._is_listed = False
        self._is_due = asyncio.Event()

    def announce_again(self) -> None:
        """Register the host again within some seconds."""
        self._is_due.set()

    async def run(self) -> None:
        """Register the host, and again when it is due, until cancelled."""
        while True:
            await self._announce()
            await self._is_due.wait()
            await asyncio.sleep(random.uniform(0, _REPEAT_SPREAD_S))
            self._is_due.clear()
            self._is_listed = False

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'listed': self._is_listed}

    async def _announce(self) -> None:
        own = self._members.local_member()
        entry = ListedHost(host=own.host, address=own.peer_address, state='live')
        while not self._is_listed:
            try:
                await self._store.announce_host(entry)
                self._is_listed = True
            except StoreError as error:
                self._environment.log.event('host_not_listed', reason=error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
