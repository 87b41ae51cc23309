"""Registration of the fleet's hosts in the platform's store."""

from typing import Any

from balsamrail.environment import Environment
from balsamrail.platform import fields
from balsamrail.platform.object_store import ObjectStore
from balsamrail.settings.address import split_address
from balsamrail.store import ListedHost

_KIND = 'balsamrail-hosts'


class HostRegistry:
    """Lists the hosts of the fleet and registers this one.

    Entries do not expire. An entry gives the address of a host; whether the host is alive is
    decided by its peers.
    """

    __slots__ = ('_environment', '_is_announced', '_store')

    def __init__(self, *, environment: Environment, store: ObjectStore) -> None:
        self._environment = environment
        self._store = store
        self._is_announced = False

    async def list_hosts(self) -> list[ListedHost]:
        """Return the registered hosts; the list may be seconds old."""
        listing = await self._store.list_objects(_KIND, is_stale_allowed=True)
        hosts = []
        for stored in listing.objects:
            listed = _read_host(stored.name, stored.spec)
            if listed is None:
                self._environment.log.event('host_entry_rejected', object=stored.name)
            else:
                hosts.append(listed)
        return hosts

    async def announce_host(self, host: ListedHost) -> None:
        """Register this host, unless its entry is there already.

        Entries do not expire, and reading one costs a twentieth of the two writes that would find
        that it exists. A host of a fleet that starts for the first time has no entry. A host that
        registers again may have lost the entry just now, which a stale read would not show.

        :raises StoreError: if the store did not accept the entry.
        """
        spec = {'address': host.address, 'state': host.state}
        if not await self._is_registered(host.host, spec):
            await self._store.create_or_replace(_KIND, host.host, spec=spec)
        self._is_announced = True

    async def _is_registered(self, host: str, spec: dict[str, Any]) -> bool:
        if self._environment.settings.is_first_start and not self._is_announced:
            return False
        known = await self._store.read(_KIND, host, is_stale_allowed=not self._is_announced)
        return known is not None and known.spec == spec


def _read_host(name: str, spec: Any) -> ListedHost | None:
    try:
        address = fields.string(fields.mapping(spec)['address'])
        split_address(address)
        return ListedHost(host=name, address=address, state=fields.string(spec['state']))
    except fields.FIELD_ERRORS:
        return None
