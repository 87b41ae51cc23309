"""One host's part in the share epochs of one region."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random

from balsamrail.environment import Environment
from balsamrail.errors import DocumentError, StoreConflictError, StoreError
from balsamrail.membership.network import Network
from balsamrail.messages import ShareEpochAnnounce, ShareSealed
from balsamrail.steering.collaborators import DeclarationSource, MemberView
from balsamrail.steering.plan import Plan
from balsamrail.steering.rendezvous import rendezvous_order
from balsamrail.steering.resources import totals_of
from balsamrail.steering.share_epoch import ShareEpoch, decode_epoch, encode_epoch
from balsamrail.steering.share_ledger import ShareLedger
from balsamrail.steering.share_plan import first_epoch, next_epoch, with_joined
from balsamrail.store import Store

_STEP_S = 0.5
_SETTLE_S = 3.0
_SEAL_WAIT_S = 3.0
_STEWARD_READ_S = 5.0
_JOIN_READ_S = 2.0
_BETWEEN_SEALS_S = 10.0
# With many hosts the share of one is not worth an epoch, which every host has to read.
_GONE_FRACTION = 0.02
# Spreads the reads of all hosts after an announcement to about 100 a second for each region.
_READS_PER_S = 100


class RegionEpochs:
    """Follows ``shares/<region>``, and as steward moves it on.

    All writes are conditional on the version that they follow from, so a second steward or one
    that was paused loses. A write whose answer was lost is settled by the next read.

    :param ledger: what this host holds of the region.
    :param deal: gives the target slots that an epoch of a region deals to this host.
    """

    __slots__ = (
        '_announced',
        '_changed_at',
        '_deal',
        '_environment',
        '_gone_since_by_holder',
        '_is_sealing',
        '_ledger',
        '_members',
        '_network',
        '_random',
        '_read_at',
        '_report_by_holder',
        '_round',
        '_seen',
        '_settled',
        '_started',
        '_store',
        '_tracker',
        '_version',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        tracker: DeclarationSource,
        members: MemberView,
        network: Network,
        store: Store,
        ledger: ShareLedger,
        random: Random,
        deal: Callable[[str, ShareEpoch], dict[str, int]],
    ) -> None:
        self._environment = environment
        self._tracker = tracker
        self._members = members
        self._network = network
        self._store = store
        self._ledger = ledger
        self._random = random
        self._deal = deal
        self._started = environment.clock.monotonic()
        self._read_at = self._started
        self._announced = 0
        self._round = 0
        self._seen: ShareEpoch | None = None
        self._version = 0
        self._settled = False
        self._is_sealing = False
        self._changed_at = self._started
        self._report_by_holder: dict[str, tuple[int, dict[str, int]]] = {}
        self._gone_since_by_holder: dict[str, float] = {}

    async def run(self) -> None:
        """Follow and move on the epochs until cancelled."""
        while True:
            await self.try_step()
            await asyncio.sleep(_STEP_S)

    async def try_step(self) -> None:
        """Make one step; after a failed call the object is read before the next write."""
        try:
            await self.step()
        except StoreConflictError:
            # Another steward was first; its epoch is read at once.
            self._settled = False
            self._read_at = self._now()
        except (StoreError, DocumentError) as error:
            self._settled = False
            self._read_at = self._now() + _JOIN_READ_S
            self._environment.log.event(
                'share_epoch_delayed', region=self._ledger.region, reason=error
            )

    def hear(self, epoch: int, *, sealing: bool = False) -> None:
        """Take note of an epoch that another host knows."""
        if epoch > max(self._announced, self._ledger.epoch):
            self._announced = epoch
            spread_s = max(_STEP_S, len(self._members.alive()) / _READS_PER_S)
            self._read_at = min(self._read_at, self._now() + self._random.random() * spread_s)
        if sealing and not self._ledger.sealed and self._ledger.seal(epoch):
            self._read_at = self._now() + _STEWARD_READ_S * (1 + self._random.random())

    def collect(self, report: ShareSealed) -> None:
        """Keep the report of a holder for the steward's next epoch."""
        known = self._report_by_holder.get(report.holder)
        if known is None or known[0] < report.epoch:
            self._report_by_holder[report.holder] = (report.epoch, dict(report.held_by_resource))

    async def step(self) -> None:
        """Read when it is time to, seal or adopt, and act as steward if this host is it."""
        is_steward = self._steward() == self._members.own().host
        if self._should_read(is_steward=is_steward):
            await self._read()
        if not is_steward:
            # The shares of a large fleet fill megabytes; only the steward needs all of them.
            self._seen = None
            self._settled = False
        if self._ledger.sealed:
            await self._report()
        # After a failed call the object is read first, since a write may have taken effect.
        if is_steward and self._settled and self._now() - self._started >= _SETTLE_S:
            await self._move_on()

    def _now(self) -> float:
        return self._environment.clock.monotonic()

    def _steward(self) -> str:
        alive = self._members.alive()
        local = [member.host for member in alive if member.region == self._ledger.region]
        hosts = local or [member.host for member in alive] or [self._members.own().host]
        return rendezvous_order(key=f'steward/{self._ledger.region}', names=hosts)[0]

    def _should_read(self, *, is_steward: bool) -> bool:
        behind = self._announced > self._ledger.epoch
        return self._now() >= self._read_at and (
            is_steward or behind or self._ledger.sealed or not self._ledger.listed
        )

    async def _read(self) -> None:
        stored = await self._store.read(f'shares/{self._ledger.region}')
        wait_s = _STEWARD_READ_S if self._ledger.listed else _JOIN_READ_S
        self._read_at = self._now() + wait_s * (0.5 + self._random.random() / 2)
        self._settled = True
        if stored is not None:
            self._see(decode_epoch(stored.value), version=stored.version)

    def _see(self, epoch: ShareEpoch, *, version: int) -> None:
        if version < self._version or (version == self._version and self._seen is not None):
            return
        if version > self._version and not self._is_sealing:
            self._changed_at = self._now()
        self._is_sealing = epoch.sealing
        self._seen = epoch
        self._version = version
        holder = self._ledger.holder
        base = epoch.base.get(holder)
        if base is not None and epoch.epoch >= self._ledger.epoch:
            base = {**base, **self._deal(self._ledger.region, epoch)}
        if self._ledger.adopt(
            epoch.epoch,
            base=base,
            unsealed=holder in epoch.unsealed,
            joined=epoch.joined.get(holder, 0),
        ):
            self._environment.log.event(
                'share_epoch_adopted', region=self._ledger.region, epoch=epoch.epoch
            )
        if epoch.sealing:
            self._ledger.seal(epoch.epoch)

    async def _report(self) -> None:
        report = ShareSealed(
            region=self._ledger.region,
            epoch=self._ledger.epoch,
            holder=self._ledger.holder,
            held_by_resource=self._ledger.all_held(),
        )
        steward = self._steward()
        if steward == self._members.own().host:
            self.collect(report)
        else:
            await self._network.send(steward, report)

    async def _move_on(self) -> None:
        seen = self._seen
        plan = Plan(declaration=self._tracker.accepted())
        totals = totals_of(plan.declaration, region=self._ledger.region)
        local, remote = self._holders()
        if seen is None:
            await self._write(first_epoch(totals, local=local, remote=remote))
            return
        gone = self._gone(seen, wait_s=plan.longest_deadline_s())
        if seen.sealing:
            await self._finish(seen, totals=totals, gone=gone)
        elif self._is_due(seen, totals=totals, gone=gone):
            await self._write(_sealing(seen))
        elif {*local, *remote} - seen.holders():
            await self._write(with_joined(seen, holders={*local, *remote}))

    async def _finish(self, seen: ShareEpoch, *, totals: dict[str, int], gone: set[str]) -> None:
        sealed = {
            holder: held
            for holder, (epoch, held) in self._report_by_holder.items()
            if epoch == seen.epoch
        }
        waiting = seen.holders() - sealed.keys() - gone
        if waiting and self._now() - self._changed_at < _SEAL_WAIT_S:
            self._announce(seen)
            return
        local, remote = self._holders()
        following = next_epoch(
            seen, totals=totals, sealed=sealed, gone=gone, local=local, remote=remote
        )
        await self._write(following)
        self._environment.log.event(
            'share_epoch_written',
            region=self._ledger.region,
            epoch=following.epoch,
            unsealed=len(following.unsealed),
            gone=len(gone),
        )

    def _is_due(self, seen: ShareEpoch, *, totals: dict[str, int], gone: set[str]) -> bool:
        if self._now() - self._changed_at < _BETWEEN_SEALS_S and self._changed_at > self._started:
            return False
        if totals != seen.totals:
            return True
        alive = {member.holder for member in self._members.alive()}
        if seen.unsealed and all(name in alive or name in gone for name in seen.unsealed):
            return True
        return bool(gone) and len(gone) >= _GONE_FRACTION * len(seen.holders())

    def _gone(self, seen: ShareEpoch, *, wait_s: float) -> set[str]:
        now = self._now()
        since_by_holder = {
            holder: self._gone_since_by_holder.get(holder, now)
            for holder in seen.holders()
            if self._members.proved_gone(holder)
        }
        self._gone_since_by_holder = since_by_holder
        return {holder for holder, since in since_by_holder.items() if now - since >= wait_s}

    def _holders(self) -> tuple[list[str], list[str]]:
        local: list[str] = []
        remote: list[str] = []
        for member in self._members.alive():
            is_local = member.region == self._ledger.region
            (local if is_local else remote).append(member.holder)
        return sorted(local), sorted(remote)

    async def _write(self, epoch: ShareEpoch) -> None:
        version = await self._store.write(
            f'shares/{self._ledger.region}', value=encode_epoch(epoch), version=self._version
        )
        self._see(epoch, version=version)
        self._announce(epoch)

    def _announce(self, epoch: ShareEpoch) -> None:
        self._round += 1
        self._network.flood(
            ShareEpochAnnounce(
                region=self._ledger.region, epoch=epoch.epoch, sealing=epoch.sealing
            ),
            topic=f'shares/{self._ledger.region}',
            version=(epoch.epoch, int(epoch.sealing), self._round),
        )


def _sealing(epoch: ShareEpoch) -> ShareEpoch:
    return replace(epoch, sealing=True)
