"""Watches the record in the store, and writes it back if the store has lost it."""

import asyncio
import random
from collections.abc import Callable
from contextlib import suppress
from typing import Any, Protocol

from balsamrail.configuration.record import RECORD_NAME
from balsamrail.configuration.record_history import RecordHistory
from balsamrail.configuration.watchers import choose_watchers
from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreConflictError, StoreError
from balsamrail.membership.members import Members
from balsamrail.store import Store

_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 15
_POLL_INTERVAL_S = 1
# Watches that the store ends sooner are followed by a pause of up to this time.
_MIN_WATCH_S = 0.7


class _Tracker(Protocol):
    @property
    def number(self) -> int: ...


class RecordWatch:
    """Watches the record while this host is one of the watchers of its availability zone.

    A watcher that finds a lower number in the store than its own writes its own record there, since
    the store has come back from a copy without it.

    :param history: contains the record that this host has adopted.
    :param adopt: called with the value and the version of each record that a watch returns.
    """

    __slots__ = ('_adopt', '_environment', '_history', '_members', '_store', '_tracker')

    def __init__(
        self,
        *,
        environment: Environment,
        store: Store,
        members: Members,
        tracker: _Tracker,
        history: RecordHistory,
        adopt: Callable[[Any, int], bool],
    ) -> None:
        self._environment = environment
        self._store = store
        self._members = members
        self._tracker = tracker
        self._history = history
        self._adopt = adopt

    def is_due(self) -> bool:
        """Return whether this host is one of the watchers of its availability zone."""
        own = self._members.local_member()
        watchers = choose_watchers(
            self._members.alive(),
            availability_zone=own.availability_zone,
        )
        return own.host in watchers

    async def run(self) -> None:
        """Watch the record until cancelled."""
        version = 0
        failures = 0
        while True:
            if not self.is_due():
                await asyncio.sleep(_POLL_INTERVAL_S)
                continue
            began = self._environment.clock.monotonic()
            try:
                version = await self._watch_once(version)
            except (StoreError, TimeoutError) as error:
                failures += 1
                self._environment.metrics.count('record_watches_failed')
                self._environment.log.event('record_watch_failed', reason=type(error).__name__)
                await asyncio.sleep(_backoff_s(failures))
                continue
            failures = 0
            if self._environment.clock.monotonic() - began < _MIN_WATCH_S:
                # Avoids a tight loop of calls if the store ends each watch immediately.
                await asyncio.sleep(random.uniform(0, _MIN_WATCH_S))

    async def _watch_once(self, version: int) -> int:
        settings = self._environment.settings.store
        # Bounds a watch on a dead connection: the watch's duration plus the timeout of a call.
        try:
            async with asyncio.timeout(settings.watch_s + settings.timeout_s):
                stored = await self._store.watch(RECORD_NAME, version=version)
        except HistoryGoneError:
            self._environment.log.event('record_version_gone', version=version)
            stored = await self._store.read(RECORD_NAME)
            if stored is None:
                await self._write_back(self._store.era.absent_version, number=0)
                return 0
        if stored is None:
            return version
        self._adopt(stored.value, stored.version)
        number = stored.value.get('number') if isinstance(stored.value, dict) else None
        if isinstance(number, int):
            await self._write_back(stored.version, number=number)
        return stored.version

    async def _write_back(self, version: int, *, number: int) -> None:
        """Write the record of this host if the store has lost it and holds ``number`` instead.

        :param version: the version of the stored object. A later submission has another one, so
            the write conflicts with it.
        """
        own = self._tracker.number
        if own <= number or own not in self._history:
            return
        with suppress(StoreConflictError):
            await self._store.write(RECORD_NAME, value=self._history.value(own), version=version)
            self._environment.log.event('record_written_back', number=own, found=number)


def _backoff_s(failures: int) -> float:
    longest_s = min(_MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2.0 ** min(failures, 10))
    return random.uniform(longest_s / 2, longest_s)
