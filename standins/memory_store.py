"""The Store protocol in memory, with the failures that the platform's store has."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

from balsamrail.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.store import ListedHost, StoredObject


class MemoryStore:
    """Shared by several hosts of one test.

    ``down`` refuses calls; ``draw`` decides the fate of each write: ``ok``, ``refused``,
    ``lost_before`` (no effect, no answer) or ``lost_after`` (took effect, no answer).
    """

    def __init__(
        self,
        *,
        delay_s: float = 0.005,
        draw: Callable[[], str] = lambda: 'ok',
    ) -> None:
        self.object_by_name: dict[str, tuple[int, str]] = {}
        self.listed_by_host: dict[str, ListedHost] = {}
        self.calls: Counter[str] = Counter()
        self.delay_s = delay_s
        self.down = False
        self.draw = draw
        self._changed = asyncio.Event()

    async def _call(self, kind: str) -> None:
        self.calls[kind] += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise StoreUnavailableError('store is down')

    async def read(self, name: str) -> StoredObject | None:
        await self._call('read')
        stored = self.object_by_name.get(name)
        if stored is None:
            return None
        return StoredObject(name=name, version=stored[0], value=json.loads(stored[1]))

    async def write(self, name: str, *, value: Any, version: int) -> int:
        await self._call('write')
        fate = self.draw()
        if fate == 'refused':
            raise StoreUnavailableError('refused')
        if fate == 'lost_before':
            raise StoreOutcomeUnknownError('no answer')
        current = self.object_by_name.get(name, (0, ''))[0]
        if current != version:
            raise StoreConflictError(name=name, version=current)
        self.object_by_name[name] = (version + 1, json.dumps(value))
        self._changed.set()
        self._changed = asyncio.Event()
        if fate == 'lost_after':
            raise StoreOutcomeUnknownError('no answer')
        return version + 1

    async def watch(self, name: str, *, version: int) -> StoredObject | None:
        await self._call('watch')
        try:
            async with asyncio.timeout(30):
                while self.object_by_name.get(name, (0, ''))[0] == version:
                    await self._changed.wait()
        except TimeoutError:
            return None
        return await self.read(name)

    async def list_names(self, *, prefix: str) -> dict[str, int]:
        await self._call('list')
        return {
            name: stored[0]
            for name, stored in self.object_by_name.items()
            if name.startswith(prefix)
        }

    async def list_hosts(self) -> list[ListedHost]:
        await self._call('list_hosts')
        return list(self.listed_by_host.values())

    async def announce_host(self, host: ListedHost) -> None:
        await self._call('announce_host')
        self.listed_by_host[host.host] = host
