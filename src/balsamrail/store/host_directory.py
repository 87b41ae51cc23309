"""The platform's list of hosts."""

from typing import Protocol

from balsamrail.store.listed_host import ListedHost


class HostDirectory(Protocol):
    """Lists the hosts and registers the state of this host.

    Every method raises :class:`balsamrail.errors.StoreError` if the store did not respond.
    """

    async def list_hosts(self) -> list[ListedHost]:
        """Return the platform's host list, which may be outdated."""

    async def announce_host(self, host: ListedHost) -> None:
        """Publish the state of this host in the host list."""
