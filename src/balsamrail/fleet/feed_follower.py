"""Receives changes of the store's objects from the hosts that watch it."""

import asyncio
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, ObjectEvent
from balsamrail.environment import Environment
from balsamrail.errors import PeerError
from balsamrail.fleet.object_codec import unpack_objects
from balsamrail.fleet.unconfirmed_listings import UnconfirmedListings
from balsamrail.fleet.watch_assignment import WatcherState
from balsamrail.membership.network import Network
from balsamrail.messages.feed_status import FeedStatus
from balsamrail.messages.feed_subscribe import FeedSubscribe
from balsamrail.messages.feed_update import FeedUpdate

_RENEW_INTERVAL_S = 1.0
# Three status intervals: two consecutive statuses may be late before a source counts as silent.
_STATUS_TIMEOUT_S = 1.2
# How long a watcher may be without contact to the store before another host takes over.
_FAILOVER_DELAY_S = 1.0
# A source is a watcher (0 hops) or a relay (1 hop). Hosts that follow each other without any
# contact to the store exceed this limit, and so detect that neither is up to date.
_MAX_HOPS = 1
# A source shows within two status timeouts, its own and that of its sources, that it misses changes.
# Two sources forward the same change well within this time of each other.
_GAP_COVER_S = 2.4
_MS_IN_S = 1_000


@dataclass(slots=True, kw_only=True)
class _Source:
    number: int = 0
    era: int = 0
    is_complete: bool = False
    is_current: bool = False
    hops: int = 0
    store_up_s: float = 0
    last_status_at: float = 0
    subscribed_at: float = 0
    followed_since: float = 0
    healthy_since: float = math.inf
    last_healthy_at: float = 0
    last_direct_at: float = 0


class FeedFollower:
    """Subscribes to sources and merges their updates into the views.

    Updates of all sources are applied, so that a source that is cut off from the store does not
    delay changes that the others deliver. Only the first listing of a kind has to come from a
    source that is current, see :class:`~balsamrail.fleet.unconfirmed_listings.UnconfirmedListings`.
    A source that has not learned of the store's era that this host knows is not current.
    """

    __slots__ = (
        '_covered_until',
        '_covering_hosts',
        '_environment',
        '_network',
        '_sources_by_host',
        '_unconfirmed',
        '_views_by_kind',
        'gap_count',
    )

    def __init__(
        self, *, environment: Environment, network: Network, views: Iterable[ObjectView]
    ) -> None:
        self._environment = environment
        self._network = network
        self._views_by_kind = {view.kind: view for view in views}
        self._sources_by_host: dict[str, _Source] = {}
        self._unconfirmed = UnconfirmedListings()
        # How often messages of a source were lost that no other source replaced. The next listing of
        # the source restores missed writes, but it removes only objects older than the source's own
        # last listing from the store, so that a missed removal can remain.
        self.gap_count = 0
        # The sources that were healthy when another one lost messages, and until when that gap still
        # counts if these turn out to miss changes too.
        self._covering_hosts: frozenset[str] = frozenset()
        self._covered_until: float = 0
        network.subscribe(FeedUpdate, self._on_update)
        network.subscribe(FeedStatus, self._on_status)

    async def follow(self, hosts: Iterable[str]) -> None:
        """Keep subscriptions to exactly these hosts; must be called several times a second."""
        wanted = set(hosts)
        for host in list(self._sources_by_host):
            if host not in wanted:
                del self._sources_by_host[host]
                self._unconfirmed.discard(host)
        now = self._environment.clock.monotonic()
        if now < self._covered_until and not self.has_current_source(self._covering_hosts):
            self._count_gap()
        for host in sorted(wanted):
            source = self._sources_by_host.get(host)
            if source is None:
                source = _Source(followed_since=now, subscribed_at=now - _RENEW_INTERVAL_S)
                self._sources_by_host[host] = source
            if now - source.subscribed_at >= _RENEW_INTERVAL_S:
                await self._send_subscribe(host, source)

    def apply_unconfirmed(self) -> None:
        """Apply the listings of sources that are not known to be current."""
        self._unconfirmed.apply_all()

    def state_of(self, host: str) -> WatcherState:
        """Return the state of a source as seen by this host."""
        source = self._sources_by_host.get(host)
        if source is None:
            return WatcherState.pending
        is_healthy = self._is_healthy(source)
        if is_healthy and not source.hops:
            return WatcherState.sound
        last_contact_at = source.last_direct_at if is_healthy else source.last_healthy_at
        outage_s = self._environment.clock.monotonic() - max(
            last_contact_at, source.followed_since
        )
        if outage_s < _FAILOVER_DELAY_S:
            return WatcherState.pending
        return WatcherState.relaying if is_healthy else WatcherState.failing

    def has_objects(self) -> bool:
        """Return whether the objects of all kinds have been listed, by a source or by this host."""
        return all(view.is_listed for view in self._views_by_kind.values())

    def is_current(self) -> bool:
        """Return whether at least one source is healthy and fully synchronized."""
        return self.has_current_source(self._sources_by_host)

    def has_current_source(self, hosts: Iterable[str]) -> bool:
        """Return whether at least one of these hosts is a healthy, fully synchronized source."""
        found = (self._sources_by_host.get(host) for host in hosts)
        return any(source is not None and self._is_healthy(source) for source in found)

    def hops(self, among: Iterable[str] | None = None) -> int:
        """Return the number of hops between this host and the store over healthy sources.

        :param among: the sources to consider, by default all that are followed.
        """
        hosts = self._sources_by_host if among is None else among
        found = (self._sources_by_host.get(host) for host in hosts)
        healthy_hops = (
            source.hops for source in found if source is not None and self._is_healthy(source)
        )
        return 1 + min(healthy_hops, default=_MAX_HOPS)

    def sources(self, *, only_healthy: bool = False) -> list[str]:
        """Return the followed hosts.

        :param only_healthy: leave out those that are not healthy, unless none is.
        """
        healthy = [
            host for host, source in self._sources_by_host.items() if self._is_healthy(source)
        ]
        return healthy if healthy and only_healthy else list(self._sources_by_host)

    def store_up_for_s(self) -> float:
        """Return for how long the store has been reachable for the sources, in seconds."""
        return max(
            (s.store_up_s for s in self._sources_by_host.values() if self._is_healthy(s)),
            default=0,
        )

    def dump(self) -> dict[str, Any]:
        """Return the sources and the last message number received from each, as plain data."""
        return {
            host: {'is_current': source.is_current, 'number': source.number}
            for host, source in self._sources_by_host.items()
        }

    def _is_healthy(self, source: _Source) -> bool:
        status_age_s = self._environment.clock.monotonic() - source.last_status_at
        is_synced = source.is_complete and source.is_current and source.hops <= _MAX_HOPS
        known_era = min(view.complete_revision.era for view in self._views_by_kind.values())
        return is_synced and source.era >= known_era and status_age_s < _STATUS_TIMEOUT_S

    async def _send_subscribe(self, host: str, source: _Source) -> None:
        source.subscribed_at = self._environment.clock.monotonic()
        # During an outage of the store no source is current, and a listing would show nothing new.
        is_useful = source.is_current or not self.has_objects()
        message = FeedSubscribe(needs_listing=is_useful and not source.is_complete)
        if not await self._network.send(host, message):
            source.is_complete = False

    def _on_update(self, host: str, message: FeedUpdate) -> None:
        source = self._sources_by_host.get(host)
        view = self._views_by_kind.get(message.kind)
        if source is None or view is None:
            return
        try:
            written = unpack_objects(message.written)
            removed = unpack_objects(message.removed)
        except PeerError as error:
            self._environment.log.event('feed_update_invalid', peer=host, reason=error)
            source.is_complete = False
            return
        self._check_sequence(source, message)
        if message.is_listing:
            source.era = max(source.era, message.era)
            revision = Revision(era=message.era, number=message.revision)
            listing = Listing(objects=tuple(written), revision=revision)
            if view.is_listed:
                view.apply_listing(listing)
            else:
                self._unconfirmed.hold(host, view, listing)
            return
        view.apply_events(
            [
                *(ObjectEvent(stored=stored, is_removal=True) for stored in removed),
                *(ObjectEvent(stored=stored, is_removal=False) for stored in written),
            ]
        )

    def _on_status(self, host: str, message: FeedStatus) -> None:
        source = self._sources_by_host.get(host)
        if source is None:
            return
        if not self._is_healthy(source):
            source.healthy_since = math.inf
        if message.number != source.number:
            self._record_gap(source)
        was_current = source.is_current
        source.is_current = message.is_current
        source.era = max(source.era, message.era)
        source.hops = message.hops
        source.store_up_s = message.store_up_ms / _MS_IN_S
        source.last_status_at = self._environment.clock.monotonic()
        if source.is_current and not was_current and not source.is_complete:
            asyncio.create_task(self._send_subscribe(host, source))
        if self._is_healthy(source):
            self._unconfirmed.apply(host)
            source.last_healthy_at = source.last_status_at
            source.healthy_since = min(source.healthy_since, source.last_status_at)
            if not source.hops:
                source.last_direct_at = source.last_status_at

    def _check_sequence(self, source: _Source, message: FeedUpdate) -> None:
        if message.number == 1:
            # Numbering restarts with a new subscription. If messages came before, the earlier
            # subscription had expired, so that messages may have been lost.
            if source.number > 1:
                self._record_gap(source)
            source.is_complete = message.is_listing
        elif message.number != source.number + 1:
            self._record_gap(source)
        source.number = message.number

    def _record_gap(self, source: _Source) -> None:
        was_complete = source.is_complete
        source.is_complete = False
        source.healthy_since = math.inf
        if not was_complete:
            return
        # If a source that covers this gap has one soon after, both may have lost the same change.
        now = self._environment.clock.monotonic()
        covering_hosts = self._covering(source)
        if covering_hosts and now >= self._covered_until:
            self._covering_hosts = covering_hosts
            self._covered_until = now + _GAP_COVER_S
        else:
            self._count_gap()

    def _covering(self, source: _Source) -> frozenset[str]:
        """Return the sources that forwarded all changes that another one may have lost.

        These are the changes since its last status. A source that was healthy only later may have
        sent a listing instead, which does not show what was removed.
        """
        needed_since = source.last_status_at - _GAP_COVER_S
        return frozenset(
            host
            for host, other in self._sources_by_host.items()
            if self._is_healthy(other) and other.healthy_since <= needed_since
        )

    def _count_gap(self) -> None:
        self.gap_count += 1
        self._covered_until = 0
