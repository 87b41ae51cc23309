"""What the other modules use of the platform's store."""

from typing import Any, Protocol

from balsamrail.store.host_source import HostSource
from balsamrail.store.stored_object import StoredObject


class Store(HostSource, Protocol):
    """The object API and the host list.

    Every method raises :class:`balsamrail.errors.StoreUnavailableError` if the call did not take
    effect for sure, and a write raises
    :class:`balsamrail.errors.StoreOutcomeUnknownError` if its answer was lost.
    """

    async def read(self, name: str) -> StoredObject | None:
        """Return the object, ``None`` if it does not exist."""

    async def write(self, name: str, *, value: Any, version: int) -> int:
        """Write conditionally on ``version``, 0 to create, and return the new version.

        :raises balsamrail.errors.StoreConflictError: if the object has another version.
        """

    async def watch(self, name: str, *, version: int) -> StoredObject | None:
        """Wait until the object's version differs, ``None`` if it did not within ``watch_s``."""

    async def list_names(self, *, prefix: str) -> dict[str, int]:
        """Return the version of each object whose name begins with ``prefix``."""
