"""Runs the watches of the store while this host is assigned to watch it."""

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol

from balsamrail.catalog.feed import Feed
from balsamrail.catalog.store_monitor import StoreMonitor
from balsamrail.environment import Environment
from balsamrail.fleet.currency_log import CurrencyLog
from balsamrail.fleet.feed_follower import FeedFollower
from balsamrail.fleet.reader_role import ReaderRole
from balsamrail.fleet.watch_assignment import (
    WatchAssignment,
    assign_watch,
    backup_sources,
    remote_sources,
)
from balsamrail.membership import Member

_TICK_INTERVAL_S = 0.25
# On the first start of the fleet there is no traffic yet, and waiting until the hosts have found
# each other saves calls to the store.
_FIRST_START_DELAY_S = 1.5
# A host that starts later has callers waiting. It waits until it has found a host that serves, for
# at most this long, some round trips: without its peers it would take itself for a watcher and list
# the store.
_DISCOVERY_TIMEOUT_S = 0.1
_DISCOVERY_INTERVAL_S = 0.025
# Fraction of the bound on applying a change (config_apply_s). After this time without a current
# source the host watches the store itself, and after this time without a current source of its own
# region it follows hosts of other regions. The rest of the bound must cover what precedes the delay
# (1.2 s until a silent source counts as lost, or 2 s until a watcher notices a silent store) and a
# listing of the store, which follows it.
_FALLBACK_DELAY_FRACTION = 0.2
# The delay after a start, when many hosts discover each other at the same time.
_STARTUP_FALLBACK_DELAY_S = 1.5
# After this time without a current source a host that has just started uses what its sources have.
# The store has been queried by then.
_UNCONFIRMED_DELAY_S = 3.0
# How long a host keeps watching once it is no longer needed, so that assignments do not flap.
_STOP_DELAY_S = 3.0


class MemberSource(Protocol):
    """Read access to the member table."""

    def alive(self) -> list[Member]:
        """Return the members that are alive, this host included."""

    def local_member(self) -> Member:
        """Return the member entry of this host."""


class StoreWatch:
    """Watches the store directly or follows the hosts that do.

    A host without a current source watches the store itself, so that a loss of all watchers costs
    additional calls to the store but leaves no host with outdated objects. The store may serve some
    hosts and refuse others or leave them without an answer, so the watchers of a region always
    follow a watcher of another region, and a host whose region has no current source follows hosts
    of all other regions. After a gap in the updates that it received, the host lists the store
    itself, since it may have missed a removal.

    :param members: provides the live members, this host included.
    """

    __slots__ = (
        '_assignment',
        '_contact',
        '_currency_log',
        '_environment',
        '_feeds',
        '_follower',
        '_handled_gap_count',
        '_is_standby',
        '_last_current_at',
        '_local_current_at',
        '_local_sources',
        '_members',
        '_must_list',
        '_redundant_since',
        '_tasks',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: MemberSource,
        contact: StoreMonitor,
        feeds: Iterable[Feed],
        follower: FeedFollower,
    ) -> None:
        self._environment = environment
        self._members = members
        self._contact = contact
        self._feeds = tuple(feeds)
        self._follower = follower
        self._tasks: list[asyncio.Task[None]] = []
        self._is_standby = False
        self._assignment = WatchAssignment(is_watcher=False, sources=())
        # Whether this host has to list the store itself: it has missed updates, or it has restarted
        # and found no host that serves.
        self._must_list = False
        self._handled_gap_count = 0
        self._last_current_at = environment.clock.monotonic()
        # The followed hosts of the own region, and when one of them or this host was last current.
        self._local_sources: tuple[str, ...] = ()
        self._local_current_at = self._last_current_at
        self._redundant_since: float | None = None
        self._currency_log = CurrencyLog(environment=environment)

    def is_current(self) -> bool:
        """Return whether this host receives every change directly from the store."""
        if not self._tasks or not self._contact.is_up() or self._contact.is_overdue():
            return False
        return all(feed.is_current() for feed in self._feeds)

    def receives_changes(self) -> bool:
        """Return whether this host receives every change, from the store or from other hosts."""
        return self.is_current() or self._follower.is_current()

    def is_watching(self) -> bool:
        """Return whether this host watches the store."""
        return bool(self._tasks)

    def may_reach_store(self) -> bool:
        """Return whether the store may answer this host, also if it has not been tried."""
        return not self._tasks or (self._contact.is_up() and not self._contact.is_overdue())

    def reader_role(self) -> ReaderRole:
        """Return the part of this host in reading the store for its region."""
        if not self.is_current():
            return ReaderRole.follower
        return self._assignment.reader_role(self._follower.state_of)

    def sources(self, *, only_healthy: bool = False) -> list[str]:
        """Return the followed hosts, see :meth:`FeedFollower.sources`."""
        return self._follower.sources(only_healthy=only_healthy)

    def hops(self) -> int:
        """Return the number of hosts between this one and the store.

        Sources in other regions are not counted. Otherwise the hosts of this region would take
        this host for a current source and stop following other regions themselves.
        """
        return 0 if self.is_current() else self._follower.hops(self._local_sources)

    def up_for_s(self) -> float:
        """Return for how long the store has been reachable for this host, in seconds."""
        return self._contact.up_for_s() if self._tasks else 0

    def store_up_for_s(self) -> float:
        """Return for how long the store has been reachable for this host or its sources."""
        return max(self.up_for_s(), self._follower.store_up_for_s())

    async def run(self) -> None:
        """Start and stop the watches as assigned, until cancelled."""
        if self._environment.settings.is_first_start:
            await asyncio.sleep(_FIRST_START_DELAY_S)
        else:
            await self._find_serving_member()
        self._last_current_at = self._environment.clock.monotonic()
        self._local_current_at = self._last_current_at
        try:
            while True:
                await self._tick()
                await asyncio.sleep(_TICK_INTERVAL_S)
        finally:
            self._stop()

    def dump(self) -> dict[str, Any]:
        """Return the state of the watches and of the followed hosts as plain data."""
        return {
            'is_watching': bool(self._tasks),
            'is_current': self.is_current(),
            'contact': self._contact.dump(),
            'feeds': [feed.dump() for feed in self._feeds],
            'follows': self._follower.dump(),
        }

    async def _find_serving_member(self) -> None:
        clock = self._environment.clock
        ends_at = clock.monotonic() + _DISCOVERY_TIMEOUT_S
        is_found = False
        while not is_found and clock.monotonic() < ends_at:
            is_found = self._is_any_member_serving()
            # The table of the first peer arrives shortly after its handshake.
            await asyncio.sleep(_DISCOVERY_INTERVAL_S)
        # If the whole fleet restarts, its callers wait for whichever host asks the store.
        self._must_list = not is_found

    def _is_any_member_serving(self) -> bool:
        own = self._members.local_member().host
        members = self._members.alive()
        return any(member.host != own and member.is_serving() for member in members)

    async def _tick(self) -> None:
        self._stop_if_failed()
        members = self._members.alive()
        own = self._members.local_member()
        assignment = assign_watch(members, own=own, state_of=self._follower.state_of)
        self._assignment = assignment
        now = self._environment.clock.monotonic()
        self._local_sources = self._with_kept_sources(assignment.sources)
        if self.is_current() or self._follower.has_current_source(self._local_sources):
            self._local_current_at = now
        remote: tuple[str, ...] = ()
        if not assignment.is_standby:
            remote = backup_sources(members, own=own, state_of=self._follower.state_of)
        if now - self._local_current_at >= self._fallback_delay_s():
            found = remote_sources(members, own=own, state_of=self._follower.state_of)
            remote = (*remote, *found)
        await self._follower.follow((*self._local_sources, *remote))
        self._currency_log.record(
            receives_changes=self.receives_changes(),
            sources=self._local_sources,
            hops=self.hops(),
        )
        if self._follower.is_current():
            self._last_current_at = now
        if now - self._last_current_at >= _UNCONFIRMED_DELAY_S and not self.is_current():
            self._follower.apply_unconfirmed()
        if self._is_watch_needed(assignment, now):
            self._redundant_since = None
            self._start(assignment)
        elif self._tasks:
            self._stop_if_redundant(now)

    def _with_kept_sources(self, assigned: tuple[str, ...]) -> tuple[str, ...]:
        """Return the assigned sources, and those followed so far until one of these is current.

        Hosts that restart are assigned at once but need some time to be current. Without any
        current source, all their followers would list the store.
        """
        if self._follower.has_current_source(assigned):
            return assigned
        kept = (
            host
            for host in self._local_sources
            if host not in assigned and self._follower.has_current_source((host,))
        )
        return (*assigned, *kept)

    def _is_watch_needed(self, assignment: WatchAssignment, now: float) -> bool:
        if self._follower.gap_count != self._handled_gap_count:
            self._handled_gap_count = self._follower.gap_count
            self._must_list = True
        elif self.is_current():
            self._must_list = False
        is_outdated = now - self._last_current_at >= self._fallback_delay_s()
        return assignment.is_watcher or self._must_list or is_outdated

    def _stop_if_redundant(self, now: float) -> None:
        if self._redundant_since is None:
            self._redundant_since = now
        if not self._contact.is_up() or now - self._redundant_since >= _STOP_DELAY_S:
            self._stop()

    def _stop_if_failed(self) -> None:
        """Stop the watch if one of its tasks has ended, so that it starts again if it is needed."""
        ended = [task for task in self._tasks if task.done()]
        for task in ended:
            error = None if task.cancelled() else task.exception()
            self._environment.log.event(
                'store_watch_failed', error=type(error).__name__, reason=error
            )
        if ended:
            self._stop()

    def _fallback_delay_s(self) -> float:
        if not self._follower.has_objects():
            return _STARTUP_FALLBACK_DELAY_S
        return self._environment.settings.bounds.config_apply_s * _FALLBACK_DELAY_FRACTION

    def _start(self, assignment: WatchAssignment) -> None:
        if self._tasks and self._is_standby and not assignment.is_standby:
            # A standby notices the end of an outage later than a watcher may.
            if not self._contact.is_up():
                self._stop()
        if self._tasks:
            return
        self._is_standby = assignment.is_standby
        self._environment.log.event('store_watch_started', is_duty=assignment.is_watcher)
        self._environment.metrics.count('store_watches_started')
        self._tasks = [asyncio.create_task(self._contact.run(is_standby=self._is_standby))]
        self._tasks.extend(asyncio.create_task(feed.run()) for feed in self._feeds)

    def _stop(self) -> None:
        if self._tasks:
            self._environment.log.event('store_watch_stopped')
        for task in self._tasks:
            task.cancel()
        self._tasks = []
        self._contact.reset()
