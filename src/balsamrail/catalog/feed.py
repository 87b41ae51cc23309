"""Keeps the objects of one kind in sync with the store."""

import asyncio
from collections.abc import Callable
from typing import Any

from balsamrail.catalog.object_source import ObjectSource
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.catalog.stored_objects import WatchAnswer
from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreError, StoreUnavailableError

# Shorter than the shortest event history of the store, so that an idle watch can be resumed.
_WATCH_TIMEOUT_S = 15.0
# A watch with this time-out returns at once what happened since its revision.
_CONFIRMATION_WAIT_S = 0.02
# Above the round trip to a slow store; the kind is listed again afterwards.
_CONFIRMATION_TIMEOUT_S = 0.5
_MIN_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 0.8
# Batches bursts of changes, since every call to the store is charged for.
_BATCH_DELAY_S = 0.15


class Feed:
    """Lists a kind, then watches it, and lists it again if the store has discarded the history.

    A store that comes back from an older copy gives out revisions again, so a watch cannot be
    continued in another era than that of the listing.

    A watch may stay without an answer although the store has changed. When its contact to the store
    reports that a change may have been missed, the feed asks for the changes at once.

    :param view: the view to which listings and events are applied.
    :param contact: tracks whether the store is reachable, so that no calls are made during outages.
    :param on_listed: called after a listing has been applied, with the time before the call was sent
        (:meth:`balsamrail.clock.Clock.boottime`) and the revision of the listing.
    """

    __slots__ = (
        '_contact',
        '_environment',
        '_is_confirmation_due',
        '_is_current',
        '_is_relist_due',
        '_on_listed',
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
        contact: StoreMonitor,
        on_listed: Callable[[float, Revision], None] | None = None,
    ) -> None:
        self._environment = environment
        self._source = source
        self._view = view
        self._contact = contact
        self._on_listed = on_listed
        contact.subscribe(self.relist)
        contact.subscribe_to_gaps(view.kind, self.confirm)
        self._revision = Revision()
        self._is_relist_due = True
        self._is_confirmation_due = False
        self._is_current = False
        self._watch: asyncio.Task[Any] | None = None

    @property
    def kind(self) -> str:
        """The kind of the objects."""
        return self._view.kind

    def is_current(self) -> bool:
        """Return whether the kind was listed and no call has failed since."""
        return self._is_current

    def relist(self) -> None:
        """Cancel the pending watch and list the kind again, for example after an outage."""
        self._is_relist_due = True
        self._interrupt_watch()

    def confirm(self) -> None:
        """Ask the store at once for the changes that the pending watch may have missed."""
        self._is_confirmation_due = True
        self._interrupt_watch()

    async def run(self) -> None:
        """List and watch until cancelled."""
        self._is_relist_due = True
        self._is_current = False
        retry_s = _MIN_RETRY_DELAY_S
        while True:
            await self._contact.wait_until_up()
            try:
                await self._list_or_watch()
                retry_s = _MIN_RETRY_DELAY_S
            except HistoryGoneError as error:
                self._environment.log.event('feed_history_gone', kind=self.kind, reason=error)
                self._is_relist_due = True
            except Exception as error:
                # What a subscriber of the view cannot handle must not end the feed either.
                self._note_failure(error)
                await asyncio.sleep(retry_s)
                retry_s = min(_MAX_RETRY_DELAY_S, retry_s * 2)

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {
            'kind': self.kind,
            'revision': str(self._revision),
            'is_current': self.is_current(),
        }

    def _note_failure(self, error: Exception) -> None:
        self._is_current = False
        self._environment.metrics.count('feed_failures')
        if isinstance(error, StoreError):
            self._environment.log.event('feed_interrupted', kind=self.kind, reason=error)
            return
        self._is_relist_due = True
        self._environment.log.event('feed_failed', kind=self.kind, reason=repr(error))

    async def _list_or_watch(self) -> None:
        if self._is_relist_due:
            await self._list()
        elif self._is_confirmation_due:
            await self._ask_for_changes()
        else:
            await self._watch_changes()

    async def _watch_changes(self) -> None:
        self._watch = asyncio.create_task(
            self._source.watch(self.kind, revision=self._revision, wait_s=_WATCH_TIMEOUT_S)
        )
        try:
            answer = await self._watch
        except asyncio.CancelledError:
            if self._is_interrupted() and not _is_cancelling():
                return
            self._watch.cancel()
            raise
        finally:
            self._watch = None
        self._apply(answer)
        if answer.events:
            await asyncio.sleep(_BATCH_DELAY_S)

    async def _ask_for_changes(self) -> None:
        self._is_confirmation_due = False
        try:
            async with asyncio.timeout(_CONFIRMATION_TIMEOUT_S):
                answer = await self._source.watch(
                    self.kind, revision=self._revision, wait_s=_CONFIRMATION_WAIT_S
                )
        except TimeoutError as error:
            self._is_relist_due = True
            raise StoreUnavailableError('the store did not answer for the changes') from error
        except StoreError:
            self._is_relist_due = True
            raise
        if answer.events:
            self._environment.metrics.count('feed_changes_missed', len(answer.events))
            self._environment.log.event(
                'feed_changes_missed',
                kind=self.kind,
                after=self._revision,
                events=len(answer.events),
            )
        self._apply(answer)

    def _apply(self, answer: WatchAnswer) -> None:
        if answer.revision.era != self._revision.era:
            raise HistoryGoneError(f'the store is in the era {answer.revision.era}')
        self._revision = answer.revision
        self._contact.note_answer(self.kind, revision=answer.revision, events=answer.events)
        self._view.apply_events(answer.events)
        self._view.note_complete(answer.revision)

    def _interrupt_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()

    def _is_interrupted(self) -> bool:
        return self._is_relist_due or self._is_confirmation_due

    async def _list(self) -> None:
        self._is_relist_due = False
        sent_at = self._environment.clock.boottime()
        try:
            listing = await self._source.list_objects(self.kind)
        except StoreError:
            self._is_relist_due = True
            raise
        self._revision = listing.revision
        self._is_current = True
        self._is_confirmation_due = False
        self._contact.note_answer(self.kind, revision=listing.revision)
        self._view.apply_listing(listing)
        if self._on_listed is not None:
            self._on_listed(sent_at, listing.revision)


def _is_cancelling() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
