"""A store in memory whose calls take drawn times and lose drawn answers."""

import asyncio
import json

from balsamrail.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.store import StoredObject


class MemoryStore:
    """Keeps each value ever written, so that a check can count effects.

    :param script: pairs of (delay in seconds, fate) taken by the calls in turn, then without
        fault. Fates: ok, refused (no effect), lost (effect, no answer), dropped (no effect, no
        answer), late (no answer, and the effect comes 3 s later).
    """

    def __init__(self, *, script=()):
        self.script = list(script)
        self.values_by_name = {}
        self.late = []
        self.reads = 0
        self.writes = 0

    async def read(self, name):
        self.reads += 1
        delay, fate = self._next()
        await asyncio.sleep(delay)
        if fate != 'ok':
            raise StoreUnavailableError(fate)
        values = self.values_by_name.get(name)
        if not values:
            return None
        found = StoredObject(name=name, version=len(values), value=json.loads(values[-1]))
        await asyncio.sleep(delay)
        return found

    async def write(self, name, *, value, version):
        self.writes += 1
        text = json.dumps(value)
        delay, fate = self._next()
        await asyncio.sleep(delay)
        match fate:
            case 'refused':
                raise StoreUnavailableError(fate)
            case 'dropped':
                raise StoreOutcomeUnknownError(fate)
            case 'late':
                self.late.append(asyncio.create_task(self._apply_late(name, text, version)))
                raise StoreOutcomeUnknownError(fate)
        taken = self._apply(name, text, version)
        await asyncio.sleep(delay)
        if fate == 'lost':
            raise StoreOutcomeUnknownError(fate)
        if not taken:
            raise StoreConflictError(name=name, version=self.version(name))
        return version + 1

    def version(self, name):
        return len(self.values_by_name.get(name, ()))

    def values(self, name):
        return [json.loads(text) for text in self.values_by_name.get(name, ())]

    async def settle(self):
        """Wait for the effects that are still under way."""
        await asyncio.gather(*self.late)

    def _apply(self, name, text, version):
        if self.version(name) != version:
            return False
        self.values_by_name.setdefault(name, []).append(text)
        return True

    async def _apply_late(self, name, text, version):
        await asyncio.sleep(3)
        self._apply(name, text, version)

    def _next(self):
        return self.script.pop(0) if self.script else (0.001, 'ok')
