"""An object source in memory that can lose calls, forget its history and go away."""

import asyncio

from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject, WatchAnswer
from balsamrail.errors import HistoryGoneError, StoreUnavailableError

# How long the client waits for an answer.
LOST_S = 1.5


class FakeSource:
    def __init__(self):
        self.revision = 1
        self.objects_by_name = {}
        self.history = []
        self.oldest = 0
        self.is_up = True
        self.losses = 0
        self.is_cut = False
        self._changed = asyncio.Event()

    def write(self, name, spec):
        self.revision += 1
        stored = StoreObject(name=name, revision=self.revision, spec=spec)
        self.objects_by_name[name] = stored
        self._note(ObjectEvent(stored=stored, is_removal=False))

    def remove(self, name):
        if self.objects_by_name.pop(name, None) is not None:
            self.revision += 1
            gone = StoreObject(name=name, revision=self.revision, spec=None)
            self._note(ObjectEvent(stored=gone, is_removal=True))

    def forget(self):
        self.history.clear()
        self.oldest = self.revision

    def _note(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self):
        if self.losses:
            self.losses -= 1
            raise StoreUnavailableError('lost')
        if not self.is_up:
            raise StoreUnavailableError('down')

    async def _travel(self):
        """Reach the store, or get lost on the way as packets do while the path is cut."""
        if self.is_cut:
            await asyncio.sleep(LOST_S)
            raise StoreUnavailableError('no answer')
        await asyncio.sleep(0.01)

    async def list_objects(self, kind, *, is_stale_allowed=False):
        await self._travel()
        self._answer()
        return Listing(objects=tuple(self.objects_by_name.values()), revision=self.revision)

    async def watch(self, kind, *, revision, wait_s):
        await self._travel()
        self._answer()
        if revision < self.oldest:
            raise HistoryGoneError('gone')
        if not self._since(revision):
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._answer()
        return WatchAnswer(events=tuple(self._since(revision)), revision=self.revision)

    def _since(self, revision):
        return [event for event in self.history if event.stored.revision > revision]
