"""Lists this host at the platform."""

import asyncio
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.membership import Members
from balsamrail.store import HostSource, ListedHost

_RETRY_S = 1


class Announcer:
    """Tells the platform that this host is live, again and again until the store takes it."""

    __slots__ = ('_environment', '_listed', '_members', '_store')

    def __init__(self, *, environment: Environment, members: Members, store: HostSource) -> None:
        self._environment = environment
        self._members = members
        self._store = store
        self._listed = False

    async def run(self) -> None:
        """Announce and then wait until cancelled."""
        own = self._members.own()
        entry = ListedHost(host=own.host, address=own.peer_address, state='live')
        while not self._listed:
            try:
                await self._store.announce_host(entry)
                self._listed = True
            except StoreError as error:
                self._environment.log.event('host_not_listed', reason=error)
                await asyncio.sleep(_RETRY_S)
        await asyncio.Event().wait()

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'listed': self._listed}
