"""The interface of the platform's store that the catalog uses."""

from typing import Protocol

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, WatchAnswer


class ObjectSource(Protocol):
    """Lists and watches objects by kind.

    All methods raise :class:`balsamrail.errors.StoreError` if there is no valid response.
    """

    async def list_objects(self, kind: str, *, is_stale_allowed: bool = False) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, *, revision: Revision, wait_s: float) -> WatchAnswer:
        """Return the events of a kind after ``revision``, none if ``wait_s`` elapsed without any.

        :raises balsamrail.errors.HistoryGoneError: if the store has discarded these events.
        """
