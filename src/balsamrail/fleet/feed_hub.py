"""Forwards changes of the store's objects to subscribed hosts."""

import asyncio
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from balsamrail.catalog.era_tracker import EraTracker
from balsamrail.catalog.object_view import ObjectView
from balsamrail.catalog.stored_objects import ObjectEvent
from balsamrail.environment import Environment
from balsamrail.fleet.object_codec import pack_objects
from balsamrail.membership.network import Network
from balsamrail.messages.feed_status import FeedStatus
from balsamrail.messages.feed_subscribe import FeedSubscribe
from balsamrail.messages.feed_update import FeedUpdate

_STATUS_INTERVAL_S = 0.4
# A status that tells of a longer or lost path to the store is sent without waiting for the interval:
# hosts that follow each other find out one after the other that none of them has a path.
_PATH_CHECK_INTERVAL_S = 0.1
# Subscribers renew their subscription every second.
_SUBSCRIPTION_TTL_S = 4.0
_MS_IN_S = 1_000


class StoreStatus(Protocol):
    """Reports whether and how this host receives changes of the store."""

    def receives_changes(self) -> bool:
        """Return whether this host receives every change, from the store or from other hosts."""

    def hops(self) -> int:
        """Return the number of hosts between this one and the store."""

    def store_up_for_s(self) -> float:
        """Return for how long the store has been reachable, in seconds."""


@dataclass(slots=True, kw_only=True)
class _Subscription:
    expires_at: float
    number: int = 0


class FeedHub:
    """Publishes this host's copy of the store's objects to its subscribers.

    A subscriber gets a full listing if it asks for one, each change, and a status several times a
    second. Messages are numbered, so that the subscriber detects a loss by a gap. When the store
    has a new era, all subscribers get a full listing, which replaces what older eras had.
    """

    __slots__ = (
        '_environment',
        '_network',
        '_reported_hops',
        '_subscriptions_by_host',
        '_views',
        '_watch',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        network: Network,
        views: Iterable[ObjectView],
        watch: StoreStatus,
    ) -> None:
        self._environment = environment
        self._network = network
        self._views = tuple(views)
        self._watch = watch
        self._subscriptions_by_host: dict[str, _Subscription] = {}
        self._reported_hops = math.inf
        network.subscribe(FeedSubscribe, self._on_subscribe)
        for view in self._views:
            view.subscribe(self._make_forwarder(view))

    async def run(self) -> None:
        """Send statuses until cancelled."""
        while True:
            await self._wait_for_status()
            now = self._environment.clock.monotonic()
            for host, subscription in list(self._subscriptions_by_host.items()):
                if subscription.expires_at < now:
                    del self._subscriptions_by_host[host]
                else:
                    await self._send_status(host, subscription)

    async def _wait_for_status(self) -> None:
        """Wait until the next status is due."""
        due_at = self._environment.clock.monotonic() + _STATUS_INTERVAL_S
        while self._environment.clock.monotonic() < due_at:
            has_subscribers = bool(self._subscriptions_by_host)
            await asyncio.sleep(_PATH_CHECK_INTERVAL_S if has_subscribers else _STATUS_INTERVAL_S)
            if has_subscribers and self._hops() > self._reported_hops:
                break
        self._reported_hops = self._hops()

    def _hops(self) -> float:
        return self._watch.hops() if self._watch.receives_changes() else math.inf

    def dump(self) -> dict[str, Any]:
        """Return the subscribed hosts as plain data."""
        return {'subscribers': sorted(self._subscriptions_by_host)}

    async def _send_status(self, host: str, subscription: _Subscription) -> None:
        status = FeedStatus(
            number=subscription.number,
            is_current=self._watch.receives_changes(),
            hops=self._watch.hops(),
            store_up_ms=int(self._watch.store_up_for_s() * _MS_IN_S),
            era=min(view.complete_revision.era for view in self._views),
        )
        if not await self._network.send(host, status):
            self._subscriptions_by_host.pop(host, None)

    def _on_subscribe(self, host: str, message: FeedSubscribe) -> None:
        expires_at = self._environment.clock.monotonic() + _SUBSCRIPTION_TTL_S
        subscription = self._subscriptions_by_host.get(host)
        if subscription is not None and not message.needs_listing:
            subscription.expires_at = expires_at
            return
        subscription = _Subscription(expires_at=expires_at)
        self._subscriptions_by_host[host] = subscription
        if message.needs_listing:
            asyncio.create_task(self._send_initial_state(host, subscription))
        else:
            asyncio.create_task(self._send_status(host, subscription))

    async def _send_initial_state(self, host: str, subscription: _Subscription) -> None:
        for view in self._views:
            if view.is_listed:
                await self._send_update(host, subscription, _make_listing(view))
        await self._send_status(host, subscription)

    def _make_forwarder(self, view: ObjectView) -> Callable[[list[ObjectEvent]], None]:
        known_era = EraTracker()

        def forward(events: list[ObjectEvent]) -> None:
            is_new_era = known_era.advance(view.complete_revision.era)
            if self._subscriptions_by_host:
                update = _make_listing(view) if is_new_era else _make_update(view.kind, events)
                asyncio.create_task(self._forward(update))

        return forward

    async def _forward(self, update: FeedUpdate) -> None:
        for host, subscription in list(self._subscriptions_by_host.items()):
            await self._send_update(host, subscription, update)

    async def _send_update(
        self, host: str, subscription: _Subscription, update: FeedUpdate
    ) -> None:
        subscription.number += 1
        numbered_update = FeedUpdate(
            number=subscription.number,
            kind=update.kind,
            is_listing=update.is_listing,
            era=update.era,
            revision=update.revision,
            written=update.written,
            removed=update.removed,
        )
        if not await self._network.send(host, numbered_update):
            self._subscriptions_by_host.pop(host, None)


def _make_listing(view: ObjectView) -> FeedUpdate:
    stored = view.objects_by_name.values()
    return FeedUpdate(
        number=0,
        kind=view.kind,
        is_listing=True,
        era=view.complete_revision.era,
        revision=view.complete_revision.number,
        written=pack_objects(stored),
        removed=[],
    )


def _make_update(kind: str, events: list[ObjectEvent]) -> FeedUpdate:
    return FeedUpdate(
        number=0,
        kind=kind,
        is_listing=False,
        era=0,
        revision=0,
        written=pack_objects(event.stored for event in events if not event.is_removal),
        removed=pack_objects(event.stored for event in events if event.is_removal),
    )
