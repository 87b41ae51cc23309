"""Keeps one kind of the store's objects up to date."""

import asyncio
from typing import Any

from balsamrail.catalog.object_source import ObjectSource
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.store_contact import StoreContact
from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreError

# Below the shortest history, so that a watch without changes can be continued.
_WATCH_S = 15.0
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.8
# Changes often come in bursts, and every call is paid for.
_GATHER_S = 0.15


class Feed:
    """Lists a kind, then watches it, and lists again when history is missing.

    :param view: takes what the store says.
    :param contact: tells when the store answers, so that it is not asked in vain.
    """

    __slots__ = (
        '_contact',
        '_environment',
        '_is_current',
        '_is_listing_due',
        '_revision',
        '_source',
        '_view',
        '_watch',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        source: ObjectSource,
        view: ObjectView,
        contact: StoreContact,
    ) -> None:
        self._environment = environment
        self._source = source
        self._view = view
        self._contact = contact
        contact.subscribe(self.list_again)
        self._revision = 0
        self._is_listing_due = True
        self._is_current = False
        self._watch: asyncio.Task[Any] | None = None

    @property
    def kind(self) -> str:
        """The kind that is followed."""
        return self._view.kind

    def is_current(self) -> bool:
        """Return whether everything was listed and no call has failed since."""
        return self._is_current

    def list_again(self) -> None:
        """Drop the watch that waits and list everything, as after an outage."""
        self._is_listing_due = True
        if self._watch is not None:
            self._watch.cancel()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        self._is_listing_due = True
        self._is_current = False
        retry_s = _FIRST_RETRY_S
        while True:
            await self._contact.wait_until_up()
            try:
                await self._step()
                retry_s = _FIRST_RETRY_S
            except HistoryGoneError as error:
                self._environment.log.event('feed_history_gone', kind=self.kind, reason=error)
                self._is_listing_due = True
            except StoreError as error:
                self._is_current = False
                self._environment.metrics.count('feed_failures')
                self._environment.log.event('feed_interrupted', kind=self.kind, reason=error)
                await asyncio.sleep(retry_s)
                retry_s = min(_LONGEST_RETRY_S, retry_s * 2)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'kind': self.kind, 'revision': self._revision, 'is_current': self.is_current()}

    async def _step(self) -> None:
        if self._is_listing_due:
            await self._list()
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
        self._view.apply_events(answer.events)
        self._view.note_complete(answer.revision)
        if answer.events:
            await asyncio.sleep(_GATHER_S)

    async def _list(self) -> None:
        self._is_listing_due = False
        try:
            listing = await self._source.list_objects(self.kind)
        except StoreError:
            self._is_listing_due = True
            raise
        self._revision = listing.revision
        self._is_current = True
        self._view.apply_listing(listing)


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
