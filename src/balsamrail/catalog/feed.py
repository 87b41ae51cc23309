"""Keeps one kind of the store's objects up to date."""

import asyncio
from collections.abc import Callable
from typing import Any

from balsamrail.catalog.object_source import ObjectSource
from balsamrail.catalog.stored_objects import Listing, ObjectEvent
from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreError

_WATCH_S = 25.0
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.8


class Feed:
    """Lists a kind, then watches it, and lists again when history is missing.

    :param on_listing: gets every complete listing.
    :param on_event: gets every change after it.
    """

    __slots__ = (
        '_environment',
        '_is_listing_due',
        '_on_event',
        '_on_listing',
        '_revision',
        '_source',
        '_watch',
        'kind',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        source: ObjectSource,
        kind: str,
        on_listing: Callable[[Listing], None],
        on_event: Callable[[ObjectEvent], None],
    ) -> None:
        self._environment = environment
        self._source = source
        self.kind = kind
        self._on_listing = on_listing
        self._on_event = on_event
        self._revision = 0
        self._is_listing_due = True
        self._watch: asyncio.Task[Any] | None = None

    def list_again(self) -> None:
        """Drop the watch that waits and list everything, as after an outage."""
        self._is_listing_due = True
        if self._watch is not None:
            self._watch.cancel()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                await self._step()
                retry_s = _FIRST_RETRY_S
            except HistoryGoneError as error:
                self._environment.log.event('feed_history_gone', kind=self.kind, reason=error)
                self._is_listing_due = True
            except StoreError as error:
                self._environment.metrics.count('feed_failures')
                self._environment.log.event('feed_interrupted', kind=self.kind, reason=error)
                await asyncio.sleep(retry_s)
                retry_s = min(_LONGEST_RETRY_S, retry_s * 2)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'kind': self.kind, 'revision': self._revision}

    async def _step(self) -> None:
        if self._is_listing_due:
            self._is_listing_due = False
            try:
                listing = await self._source.list_objects(self.kind)
            except StoreError:
                self._is_listing_due = True
                raise
            self._revision = listing.revision
            self._on_listing(listing)
            return
        self._watch = asyncio.create_task(
            self._source.watch(self.kind, revision=self._revision, wait_s=_WATCH_S)
        )
        try:
            answer = await self._watch
        except asyncio.CancelledError:
            if self._is_listing_due and not _is_cancelling():
                return
            self._watch.cancel()
            raise
        finally:
            self._watch = None
        self._revision = answer.revision
        for event in answer.events:
            self._on_event(event)


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
