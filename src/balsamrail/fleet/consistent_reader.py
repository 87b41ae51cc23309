"""Reads the store so that the manifest of this host is known to be the newest."""

from collections.abc import Callable
from typing import Protocol

from balsamrail.catalog.object_source import ObjectSource
from balsamrail.catalog.object_view import ObjectView
from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreError
from balsamrail.fleet.manifest_lease import ManifestLease

# A watch with this time-out returns at once. Unlike a stale listing, it shows every acknowledged change.
_READ_WAIT_S = 0.001


class WatchStatus(Protocol):
    """Reports whether the feeds of this host run."""

    def is_watching(self) -> bool:
        """Return whether this host watches the store, so that its feeds list again when asked to."""


class ConsistentReader:
    """Asks the store for the changes since the revision up to which the view is complete.

    If the store has discarded these changes, or has a new era, the kind has to be listed: by the feed
    of the kind if it runs, or else by this object.

    :param view: the view of the manifests.
    :param relist: makes the feed of the kind list it again.
    """

    __slots__ = ('_environment', '_lease', '_relist', '_source', '_view', '_watch')

    def __init__(
        self,
        *,
        environment: Environment,
        lease: ManifestLease,
        source: ObjectSource,
        view: ObjectView,
        watch: WatchStatus,
        relist: Callable[[], None],
    ) -> None:
        self._environment = environment
        self._lease = lease
        self._source = source
        self._view = view
        self._watch = watch
        self._relist = relist

    async def read(self) -> bool:
        """Read the changes and apply them; return whether the store has answered."""
        self._environment.metrics.count('manifest_reads')
        try:
            await self._read()
        except HistoryGoneError as error:
            self._environment.log.event('manifest_read_history_gone', reason=error)
            return await self._list()
        except StoreError:
            self._environment.metrics.count('manifest_reads_failed')
            return False
        return True

    async def _read(self) -> None:
        sent_at = self._environment.clock.boottime()
        revision = self._view.complete_revision
        answer = await self._source.watch(self._view.kind, revision=revision, wait_s=_READ_WAIT_S)
        self._lease.note_era(answer.revision.era)
        if answer.revision.era != revision.era or answer.revision < revision:
            raise HistoryGoneError(f'the store is at the revision {answer.revision}')
        self._view.apply_events(answer.events)
        self._view.note_complete(answer.revision)
        self._lease.note_read(sent_at=sent_at, era=answer.revision.era)

    async def _list(self) -> bool:
        if self._watch.is_watching():
            self._relist()
            return True
        sent_at = self._environment.clock.boottime()
        try:
            listing = await self._source.list_objects(self._view.kind)
        except StoreError:
            self._environment.metrics.count('manifest_reads_failed')
            return False
        self._view.apply_listing(listing)
        self._lease.note_read(sent_at=sent_at, era=listing.revision.era)
        return True
