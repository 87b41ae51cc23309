"""Interface of the platform's store."""

from typing import Any, Protocol

from balsamrail.store.host_directory import HostDirectory
from balsamrail.store.store_era import StoreEra
from balsamrail.store.stored_object import StoredObject


class Store(HostDirectory, Protocol):
    """The object API and the host list.

    Every method raises :class:`balsamrail.errors.StoreUnavailableError` if the call certainly had
    no effect. A write raises :class:`balsamrail.errors.StoreOutcomeUnknownError` if its response
    was lost.
    """

    @property
    def era(self) -> StoreEra:
        """The latest era that an answer told."""

    async def read(self, name: str) -> StoredObject | None:
        """Return the object, ``None`` if it does not exist."""

    async def write(self, name: str, *, value: Any, version: int) -> int:
        """Write if the object is at ``version``, 0 to create it, and return the new version.

        :raises balsamrail.errors.StoreConflictError: if the object has another version.
        """

    async def watch(self, name: str, *, version: int) -> StoredObject | None:
        """Wait for another version and return it, ``None`` if there is none within ``watch_s``.

        :raises balsamrail.errors.HistoryGoneError: if the store has lost ``version``.
        """

    async def list_names(self, *, prefix: str) -> dict[str, int]:
        """Return the version of each object whose name starts with ``prefix``."""
