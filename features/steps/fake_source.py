"""An in-memory object source.

It can lose calls, discard its history, become unavailable and come back from an older copy.
"""

import asyncio
from dataclasses import replace

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject, WatchAnswer
from balsamrail.errors import HistoryGoneError, StoreUnavailableError

# The time-out of a call.
TIMEOUT_S = 1.5


class FakeSource:
    def __init__(self):
        self.era = 1
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
        stored = StoreObject(name=name, revision=self._stamp(self.revision), spec=spec)
        self.objects_by_name[name] = stored
        self._record_event(ObjectEvent(stored=stored, is_removal=False))

    def remove(self, name):
        if self.objects_by_name.pop(name, None) is not None:
            self.revision += 1
            gone = StoreObject(name=name, revision=self._stamp(self.revision), spec=None)
            self._record_event(ObjectEvent(stored=gone, is_removal=True))

    def forget(self):
        self.history.clear()
        self.oldest = self.revision

    def copy_contents(self):
        return self.revision, self.oldest, dict(self.objects_by_name), list(self.history)

    def restore(self, contents):
        """Lose what was written since the copy; watches that wait are not woken."""
        revision, oldest, objects_by_name, history = contents
        self.era += 1
        self.revision = revision
        self.oldest = oldest
        self.objects_by_name = dict(objects_by_name)
        self.history = list(history)

    def _record_event(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_available(self):
        if self.losses:
            self.losses -= 1
            raise StoreUnavailableError('lost')
        if not self.is_up:
            raise StoreUnavailableError('down')

    async def _reach(self):
        """Simulate the network latency, or a time-out while the network is partitioned."""
        if self.is_cut:
            await asyncio.sleep(TIMEOUT_S)
            raise StoreUnavailableError('no answer')
        await asyncio.sleep(0.01)

    async def list_objects(self, kind, *, is_stale_allowed=False):
        await self._reach()
        self._check_available()
        return Listing(objects=self.listed(), revision=self._stamp(self.revision))

    async def watch(self, kind, *, revision, wait_s):
        await self._reach()
        self._check_available()
        self._check_history(revision.number)
        if not self._since(revision.number):
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._check_available()
            self._check_history(revision.number)
        events = tuple(
            ObjectEvent(stored=self._in_era(event.stored), is_removal=event.is_removal)
            for event in self._since(revision.number)
        )
        return WatchAnswer(events=events, revision=self._stamp(self.revision))

    def listed(self):
        return tuple(self._in_era(stored) for stored in self.objects_by_name.values())

    def _in_era(self, stored):
        return replace(stored, revision=self._stamp(stored.revision.number))

    def _stamp(self, number):
        return Revision(era=self.era, number=number)

    def _check_history(self, revision):
        if not self.oldest <= revision <= self.revision:
            raise HistoryGoneError('gone')

    def _since(self, revision):
        return [event for event in self.history if event.stored.revision.number > revision]
