"""Tracking of the share epochs of one region by one host."""

import asyncio
from collections.abc import Callable

from balsamrail.errors import DocumentError, StoreConflictError, StoreError
from balsamrail.messages import ShareSealed
from balsamrail.steering.context import SteeringContext
from balsamrail.steering.region_coordinator import RegionCoordinator
from balsamrail.steering.share_epoch import ShareEpoch, decode_epoch
from balsamrail.steering.share_fence import ShareFence
from balsamrail.steering.share_ledger import ShareLedger
from balsamrail.store.versions import split_version

_STEP_INTERVAL_S = 0.5
_STARTUP_DELAY_S = 3.0
_COORDINATOR_READ_INTERVAL_S = 5.0
_JOIN_READ_INTERVAL_S = 2.0
# Limits the reads of all hosts after an announcement to about 100 per second and region.
_READS_PER_S = 100


class RegionEpochs:
    """Tracks ``shares/<region>``, and writes new epochs while this host is the coordinator.

    The next read determines whether a write without a response took effect.

    :param ledger: the share of the region that this host holds.
    :param fence: is notified of reads, and requires one after a pause.
    :param assigned_slots: returns the target slots that an epoch of a region assigns to this host.
    """

    __slots__ = (
        '_announced_epoch',
        '_assigned_slots',
        '_context',
        '_coordinator',
        '_fence',
        '_fence_read_due_at',
        '_has_lost_epochs',
        '_is_current',
        '_ledger',
        '_read_due_at',
        '_started',
        '_stored_epoch',
        '_version',
    )

    def __init__(
        self,
        *,
        context: SteeringContext,
        ledger: ShareLedger,
        fence: ShareFence,
        assigned_slots: Callable[[str, ShareEpoch], dict[str, int]],
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._fence = fence
        self._assigned_slots = assigned_slots
        self._coordinator = RegionCoordinator(context=context, region=ledger.region)
        self._started = context.environment.clock.monotonic()
        self._read_due_at = self._started
        self._fence_read_due_at = self._started
        self._announced_epoch = 0
        self._stored_epoch: ShareEpoch | None = None
        self._version = 0
        self._is_current = False
        self._has_lost_epochs = False

    async def run(self) -> None:
        """Track the epochs, and write new ones as coordinator, until cancelled."""
        while True:
            await self.try_step()
            await asyncio.sleep(_STEP_INTERVAL_S)

    async def try_step(self) -> None:
        """Run one step and handle its errors; after an error the object is read before a write."""
        try:
            await self.step()
        except StoreConflictError:
            # Another coordinator wrote first; its epoch is read immediately.
            self._is_current = False
            self._read_due_at = self._now()
        except (StoreError, DocumentError) as error:
            self._is_current = False
            self._read_due_at = self._now() + _JOIN_READ_INTERVAL_S
            self._fence.record_store_failure()
            self._context.environment.log.event(
                'share_epoch_delayed', region=self._ledger.region, reason=error
            )

    def observe_epoch(self, epoch: int, *, sealing: bool = False) -> None:
        """Record an epoch that another host announced."""
        if epoch > max(self._announced_epoch, self._ledger.epoch):
            self._announced_epoch = epoch
            spread_s = max(_STEP_INTERVAL_S, len(self._context.members.alive()) / _READS_PER_S)
            self._read_due_at = min(
                self._read_due_at, self._now() + self._context.random.random() * spread_s
            )
        if sealing and not self._ledger.sealed and self._ledger.seal(epoch):
            self._read_due_at = self._now() + _COORDINATOR_READ_INTERVAL_S * (
                1 + self._context.random.random()
            )

    def known_epoch(self) -> int:
        """Return the highest epoch that this host has learned of."""
        return max(self._announced_epoch, self._ledger.epoch)

    def collect(self, report: ShareSealed) -> None:
        """Keep the report of a holder for the next epoch."""
        self._coordinator.collect(report)

    async def step(self) -> None:
        """Read if due, adopt or seal the epoch, and write the next one as coordinator."""
        is_coordinator = self._coordinator.host() == self._context.members.local_member().host
        if self._should_read(is_coordinator=is_coordinator):
            await self._read()
        if not is_coordinator:
            # The shares of a large fleet take megabytes; only the coordinator needs all of them.
            self._stored_epoch = None
            self._is_current = False
        if self._ledger.sealed:
            await self._send_report()
        # After an error the object is read first, since the failed write may have taken effect.
        if is_coordinator and self._is_current and self._now() - self._started >= _STARTUP_DELAY_S:
            if self._has_lost_epochs:
                new_epoch: ShareEpoch | None = await self._coordinator.write_after_loss(
                    self._stored_epoch, version=self._version, lost=self.known_epoch()
                )
            else:
                new_epoch = await self._coordinator.write_next(
                    self._stored_epoch, version=self._version
                )
            if new_epoch is not None:
                self._apply(new_epoch, version=self._version + 1)
                self._coordinator.announce(new_epoch)

    def _now(self) -> float:
        return self._context.environment.clock.monotonic()

    def _should_read(self, *, is_coordinator: bool) -> bool:
        now = self._now()
        if now >= self._fence_read_due_at and self._fence.needs_read(self._ledger.region):
            return True
        behind = self._announced_epoch > self._ledger.epoch
        return now >= self._read_due_at and (
            is_coordinator or behind or self._ledger.sealed or not self._ledger.listed
        )

    async def _read(self) -> None:
        since = self._now()
        self._fence_read_due_at = since + _JOIN_READ_INTERVAL_S
        stored = await self._context.store.read(f'shares/{self._ledger.region}')
        wait_s = _COORDINATOR_READ_INTERVAL_S if self._ledger.listed else _JOIN_READ_INTERVAL_S
        self._read_due_at = self._now() + wait_s * (0.5 + self._context.random.random() / 2)
        self._is_current = True
        epoch = None if stored is None else decode_epoch(stored.value)
        version = self._context.store.era.absent_version if stored is None else stored.version
        if self._is_from_copy(epoch, version=version):
            # Another host may hold what a lost epoch took from the holders in the copy.
            self._has_lost_epochs = True
            self._stored_epoch, self._version = epoch, version
            return
        if epoch is not None:
            self._apply(epoch, version=version)
        is_sealing = epoch is not None and epoch.sealing
        self._fence.record_read(self._ledger.region, since=since, is_sealing=is_sealing)

    def _is_from_copy(self, epoch: ShareEpoch | None, *, version: int) -> bool:
        """Return whether the stored epoch was not written in the era of its version."""
        if epoch is None:
            return self.known_epoch() > 0
        return split_version(epoch.epoch)[0] < split_version(version)[0]

    def _apply(self, epoch: ShareEpoch, *, version: int) -> None:
        if version < self._version or (
            version == self._version and self._stored_epoch is not None
        ):
            return
        if version > self._version:
            self._coordinator.record_change(is_sealing=epoch.sealing)
        self._stored_epoch = epoch
        self._version = version
        self._has_lost_epochs = False
        holder = self._ledger.holder
        base = epoch.base.get(holder)
        if base is not None and epoch.epoch >= self._ledger.epoch:
            base = {**base, **self._assigned_slots(self._ledger.region, epoch)}
        if self._ledger.adopt(
            epoch.epoch,
            base=base,
            unsealed=holder in epoch.unsealed,
            joined=epoch.joined.get(holder, 0),
        ):
            self._context.environment.log.event(
                'share_epoch_adopted', region=self._ledger.region, epoch=epoch.epoch
            )
        if epoch.sealing:
            self._ledger.seal(epoch.epoch)

    async def _send_report(self) -> None:
        report = ShareSealed(
            region=self._ledger.region,
            epoch=self._ledger.epoch,
            holder=self._ledger.holder,
            held_by_resource=self._ledger.all_held(),
        )
        coordinator = self._coordinator.host()
        if coordinator == self._context.members.local_member().host:
            self.collect(report)
        else:
            await self._context.network.send(coordinator, report)
