"""Registers this host in the list of hosts."""

import asyncio
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.membership import Members
from balsamrail.store import HostDirectory, ListedHost

_RETRY_INTERVAL_S = 1


class Announcer:
    """Registers this host as live, retrying until the store accepts the entry."""

    __slots__ = ('_environment', '_is_listed', '_members', '_store')

    def __init__(
        self, *, environment: Environment, members: Members, store: HostDirectory
    ) -> None:
        self._environment = environment
        self._members = members
        self._store = store
        self._is_listed = False

    async def run(self) -> None:
        """Register the host, then wait until cancelled."""
        own = self._members.local_member()
        entry = ListedHost(host=own.host, address=own.peer_address, state='live')
        while not self._is_listed:
            try:
                await self._store.announce_host(entry)
                self._is_listed = True
            except StoreError as error:
                self._environment.log.event('host_not_listed', reason=error)
                await asyncio.sleep(_RETRY_INTERVAL_S)
        await asyncio.Event().wait()

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'listed': self._is_listed}
