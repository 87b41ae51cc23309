"""What the catalog uses of the platform's store."""

from typing import Protocol

from balsamrail.catalog.stored_objects import Listing, WatchAnswer


class ObjectSource(Protocol):
    """Lists and watches objects by kind.

    Every method raises :class:`balsamrail.errors.StoreError` if no usable answer came.
    """

    async def list_objects(self, kind: str, *, is_stale_allowed: bool = False) -> Listing:
        """Return all objects of a kind."""

    async def watch(self, kind: str, *, revision: int, wait_s: float) -> WatchAnswer:
        """Return the events of a kind since ``revision``, none if ``wait_s`` passed without one.

        :raises balsamrail.errors.HistoryGoneError: if the store no longer knows them.
        """
