"""The platform's list of hosts."""

from typing import Protocol

from balsamrail.store.listed_host import ListedHost


class HostSource(Protocol):
    """Lists hosts and takes the entry of this one.

    Every method raises :class:`balsamrail.errors.StoreError` if the store did not answer.
    """

    async def list_hosts(self) -> list[ListedHost]:
        """Return the platform's host list, which lags."""

    async def announce_host(self, host: ListedHost) -> None:
        """Tell the platform the state of this host."""
