"""Monitors whether this host can reach the platform's store."""

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from balsamrail.catalog.change_accounting import ChangeAccounting
from balsamrail.catalog.object_source import ObjectSource
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import ObjectEvent
from balsamrail.environment import Environment
from balsamrail.errors import StoreError

_CHECK_INTERVAL_S = 0.5
# Watches deliver a change within this time of a check that shows it.
_DELIVERY_TIME_S = 0.25
# A check is overdue after this time, or after this multiple of the time that the last one took, if
# that is longer: the store may be slow.
_MIN_OVERDUE_S = 0.4
_OVERDUE_RATIO = 3
_RETRY_INTERVAL_S = 0.3
# A standby checks less and less often, and gives the assigned watchers this time after an outage.
_MAX_STANDBY_INTERVAL_S = 1.2
_STANDBY_DELAY_S = 0.6
# The number of checks that can be waiting for their time-out at the same time.
_MAX_PENDING_CHECKS = 5


class StoreMonitor:
    """Checks the store twice per second with a small stale read, at a tenth of a call's price.

    A pending watch does not show whether the store still responds, so an outage would be noticed
    only when the watch times out. When the store responds again after an outage, all feeds list
    their kinds again, since a watch may have been lost without an error. A new era of the store is
    treated like an outage, even if no check has failed.

    A watch may also be lost while all checks succeed, so each check is compared with the changes
    that the feeds have received.

    :param kind: the kind that is listed, which should have few objects.
    """

    __slots__ = (
        '_accounting',
        '_check_began_at',
        '_checked_revision',
        '_environment',
        '_era',
        '_gap_callbacks_by_kind',
        '_kind',
        '_last_check_s',
        '_latest_era',
        '_recovery_callbacks',
        '_source',
        '_up_event',
        '_up_since',
    )

    def __init__(self, *, environment: Environment, source: ObjectSource, kind: str) -> None:
        self._environment = environment
        self._source = source
        self._kind = kind
        self._era = 0
        self._latest_era = 0
        self._check_began_at: float | None = None
        self._last_check_s: float = 0
        self._checked_revision = Revision()
        self._accounting = ChangeAccounting()
        self._gap_callbacks_by_kind: dict[str, Callable[[], None]] = {}
        self._up_event = asyncio.Event()
        self._up_since = environment.clock.monotonic()
        self._recovery_callbacks: list[Callable[[], None]] = []

    def subscribe(self, on_recovery: Callable[[], None]) -> None:
        """Call ``on_recovery`` whenever the store becomes reachable or has a new era."""
        self._recovery_callbacks.append(on_recovery)

    def subscribe_to_gaps(self, kind: str, on_gap: Callable[[], None]) -> None:
        """Call ``on_gap`` when a change of a kind may have been missed.

        Requires that the answers for this kind are passed to :meth:`note_answer`.
        """
        self._gap_callbacks_by_kind[kind] = on_gap

    def note_answer(
        self, kind: str, *, revision: Revision, events: Iterable[ObjectEvent] = ()
    ) -> None:
        """Record a listing or the answer of a watch, see :class:`ChangeAccounting`."""
        self._accounting.note_answer(kind, revision=revision, events=events)

    def is_up(self) -> bool:
        """Return whether the last check succeeded."""
        return self._up_event.is_set()

    def is_overdue(self) -> bool:
        """Return whether a check has been unanswered for longer than the last ones.

        The path to the store may be lost, which is known only when the check fails.
        """
        if self._check_began_at is None:
            return False
        waited_s = self._environment.clock.monotonic() - self._check_began_at
        return waited_s >= max(_MIN_OVERDUE_S, _OVERDUE_RATIO * self._last_check_s)

    def up_for_s(self) -> float:
        """Return for how many seconds the store has been reachable, 0 if it is not."""
        if not self.is_up():
            return 0
        return self._environment.clock.monotonic() - self._up_since

    async def wait_until_up(self) -> None:
        """Wait until the store is reachable."""
        await self._up_event.wait()

    def reset(self) -> None:
        """Discard the result of the last check, since checking has stopped."""
        self._up_event.clear()
        self._checked_revision = Revision()
        self._accounting = ChangeAccounting()

    async def run(self, *, is_standby: bool = False) -> None:
        """Check the store until cancelled.

        :param is_standby: whether other hosts are assigned to watch the store. During an outage
            all hosts of the fleet are standbys, and each call is charged for.
        """
        max_interval_s = _MAX_STANDBY_INTERVAL_S if is_standby else _RETRY_INTERVAL_S
        while True:
            try:
                await self._check_in_time()
            except StoreError as error:
                self._record_failure(error)
                await self._wait_for_recovery(max_interval_s)
                await asyncio.sleep(_STANDBY_DELAY_S if is_standby else 0)
            self._record_success()
            await asyncio.sleep(_DELIVERY_TIME_S)
            self._report_gaps()
            await asyncio.sleep(_CHECK_INTERVAL_S - _DELIVERY_TIME_S)

    async def _check_in_time(self) -> None:
        clock = self._environment.clock
        began = clock.monotonic()
        self._check_began_at = began
        try:
            await self._check()
        finally:
            self._check_began_at = None
        self._last_check_s = clock.monotonic() - began

    async def _check(self) -> None:
        listing = await self._source.list_objects(self._kind, is_stale_allowed=True)
        self._latest_era = max(self._latest_era, listing.revision.era)
        self._checked_revision = listing.revision

    def _report_gaps(self) -> None:
        for kind in self._accounting.incomplete_kinds(self._checked_revision):
            on_gap = self._gap_callbacks_by_kind.get(kind)
            if on_gap is not None:
                on_gap()

    async def _wait_for_recovery(self, max_interval_s: float) -> None:
        """Start checks periodically, without waiting for the previous ones.

        While the store is unreachable, a check ends only by its time-out. Sequential checks would
        notice the recovery late by up to this time-out, and targets that left in the meantime
        would be kept for that much longer.
        """
        recovered = asyncio.Event()
        interval_s = _RETRY_INTERVAL_S
        checks: set[asyncio.Task[None]] = set()
        try:
            while not recovered.is_set():
                if len(checks) < _MAX_PENDING_CHECKS:
                    check = asyncio.create_task(self._check_once(recovered))
                    checks.add(check)
                    check.add_done_callback(checks.discard)
                with suppress(TimeoutError):
                    await asyncio.wait_for(recovered.wait(), interval_s)
                interval_s = min(max_interval_s, interval_s * 2)
        finally:
            for pending_check in list(checks):
                pending_check.cancel()

    async def _check_once(self, recovered: asyncio.Event) -> None:
        with suppress(StoreError):
            await self._check()
            recovered.set()

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'is_up': self.is_up(), 'up_for_s': self.up_for_s(), 'era': self._era}

    def _record_failure(self, error: StoreError) -> None:
        if self.is_up():
            self._up_event.clear()
            self._environment.metrics.count('store_losses')
            self._environment.log.event('store_lost', reason=error)

    def _record_success(self) -> None:
        if self.is_up() and self._era == self._latest_era:
            return
        self._era = self._latest_era
        self._up_event.set()
        self._up_since = self._environment.clock.monotonic()
        self._environment.log.event('store_reached', era=self._era)
        for on_recovery in self._recovery_callbacks:
            on_recovery()
