"""Versioned objects of the store stand-in."""

import asyncio
from collections import defaultdict


class StoreObjects:
    """In-memory values with versions. Version 0 means that the object does not exist."""

    __slots__ = ('_entry_by_name', '_waiters_by_name')

    def __init__(self) -> None:
        self._entry_by_name: dict[str, tuple[int, bytes]] = {}
        self._waiters_by_name: defaultdict[str, set[asyncio.Future[None]]] = defaultdict(set)

    def read(self, name: str) -> tuple[int, bytes]:
        """Return the version and the JSON text of the value."""
        return self._entry_by_name.get(name, (0, b'null'))

    def write(self, name: str, *, text: bytes, version: int) -> int | None:
        """Write if the current version is ``version``; return the new version, else ``None``."""
        current, _ = self.read(name)
        if current != version:
            return None
        self._entry_by_name[name] = (current + 1, text)
        self._wake(name)
        return current + 1

    async def wait_change(self, name: str, *, version: int, wait_s: float) -> bool:
        """Wait until the object exists with another version; return whether it does."""
        deadline = asyncio.get_running_loop().time() + wait_s
        while self.read(name)[0] in {0, version}:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters_by_name[name].add(waiter)
            try:
                async with asyncio.timeout_at(deadline):
                    await waiter
            except TimeoutError:
                return False
            finally:
                self._waiters_by_name[name].discard(waiter)
        return True

    def versions(self, *, prefix: str) -> dict[str, int]:
        """Return the versions of all objects whose names start with ``prefix``."""
        entries = sorted(self._entry_by_name.items())
        return {name: version for name, (version, _) in entries if name.startswith(prefix)}

    def copy(self) -> dict[str, tuple[int, bytes]]:
        """Return a copy of all objects with their versions."""
        return dict(self._entry_by_name)

    def restore(self, entry_by_name: dict[str, tuple[int, bytes]]) -> None:
        """Replace all objects by those of a copy, whose versions are then given out again."""
        self._entry_by_name = dict(entry_by_name)
        for name in list(self._waiters_by_name):
            self._wake(name)

    def _wake(self, name: str) -> None:
        for waiter in self._waiters_by_name.pop(name, set()):
            if not waiter.done():
                waiter.set_result(None)
