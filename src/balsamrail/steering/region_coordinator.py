"""Coordinator of the share epochs of one region."""

from dataclasses import replace

from balsamrail.messages import ShareEpochAnnounce, ShareSealed
from balsamrail.steering.context import SteeringContext
from balsamrail.steering.epoch_transitions import (
    epoch_after_loss,
    first_epoch,
    next_epoch,
    with_joined,
)
from balsamrail.steering.rendezvous import rendezvous_order
from balsamrail.steering.resources import resource_totals
from balsamrail.steering.routing_plan import RoutingPlan
from balsamrail.steering.share_epoch import ShareEpoch, encode_epoch
from balsamrail.store.versions import join_version, split_version

_SEAL_TIMEOUT_S = 3.0
_MIN_SEAL_INTERVAL_S = 10.0
# In a large fleet the share of a single host does not justify an epoch that all hosts must read.
_MIN_GONE_FRACTION = 0.02


class RegionCoordinator:
    """Determines which epoch of a region is due and writes it.

    Each write is conditional on the version that it was derived from, so the write of a second
    coordinator, or of one that was paused, fails.
    """

    __slots__ = (
        '_announcement_count',
        '_changed_at',
        '_context',
        '_gone_since_by_holder',
        '_is_sealing',
        '_region',
        '_report_by_holder',
        '_started',
    )

    def __init__(
        self,
        *,
        context: SteeringContext,
        region: str,
    ) -> None:
        self._context = context
        self._region = region
        self._started = context.environment.clock.monotonic()
        self._changed_at = self._started
        self._is_sealing = False
        self._announcement_count = 0
        self._report_by_holder: dict[str, tuple[int, dict[str, int]]] = {}
        self._gone_since_by_holder: dict[str, float] = {}

    def host(self) -> str:
        """Return the current coordinator according to this host's view of the membership."""
        alive = self._context.members.alive()
        local = [member.host for member in alive if member.region == self._region]
        hosts = (
            local
            or [member.host for member in alive]
            or [self._context.members.local_member().host]
        )
        return rendezvous_order(key=f'steward/{self._region}', names=hosts)[0]

    def collect(self, report: ShareSealed) -> None:
        """Keep the report of a holder for the next epoch."""
        known = self._report_by_holder.get(report.holder)
        if known is None or known[0] < report.epoch:
            self._report_by_holder[report.holder] = (report.epoch, dict(report.held_by_resource))

    def record_change(self, *, is_sealing: bool) -> None:
        """Record that the stored object changed, and whether its epoch is now being sealed."""
        if not self._is_sealing:
            self._changed_at = self._now()
        self._is_sealing = is_sealing

    async def write_next(self, current: ShareEpoch | None, *, version: int) -> ShareEpoch | None:
        """Write the epoch that is due after ``current`` and return it, ``None`` if none is due.

        :param version: the version of the stored object that holds ``current``.
        :raises StoreConflictError: if another host wrote first.
        """
        due = self._due_epoch(current, first_number=_first_number(version))
        if due is None:
            return None
        await self._context.store.write(
            f'shares/{self._region}', value=encode_epoch(due), version=version
        )
        return due

    async def write_after_loss(
        self, copied: ShareEpoch | None, *, version: int, lost: int
    ) -> ShareEpoch:
        """Write and return the first epoch after the store came back from a copy.

        :param lost: the highest number of a lost epoch that this host knows.
        :raises StoreConflictError: if another host wrote first.
        """
        plan = RoutingPlan(declaration=self._context.tracker.accepted())
        epoch = epoch_after_loss(
            copied,
            number=max(_first_number(version), lost + 1),
            lost=lost,
            totals=resource_totals(plan.declaration, region=self._region),
            alive={member.holder for member in self._context.members.alive()},
        )
        await self._context.store.write(
            f'shares/{self._region}', value=encode_epoch(epoch), version=version
        )
        return epoch

    def announce(self, epoch: ShareEpoch) -> None:
        """Announce an epoch to all hosts."""
        self._announcement_count += 1
        self._context.network.flood(
            ShareEpochAnnounce(region=self._region, epoch=epoch.epoch, sealing=epoch.sealing),
            topic=f'shares/{self._region}',
            version=(epoch.epoch, int(epoch.sealing), self._announcement_count),
        )

    def _due_epoch(self, current: ShareEpoch | None, *, first_number: int) -> ShareEpoch | None:
        plan = RoutingPlan(declaration=self._context.tracker.accepted())
        totals = resource_totals(plan.declaration, region=self._region)
        local, remote = self._holders()
        if current is None:
            return first_epoch(totals, number=first_number, local=local, remote=remote)
        gone = self._confirmed_gone(current, min_gone_s=plan.longest_deadline_s())
        if current.sealing:
            return self._epoch_after_seal(current, totals=totals, gone=gone)
        if self._is_seal_due(current, totals=totals, gone=gone):
            return replace(current, sealing=True)
        if {*local, *remote} - current.holders():
            return with_joined(current, holders={*local, *remote})
        return None

    def _epoch_after_seal(
        self, current: ShareEpoch, *, totals: dict[str, int], gone: set[str]
    ) -> ShareEpoch | None:
        sealed = {
            holder: held
            for holder, (epoch, held) in self._report_by_holder.items()
            if epoch == current.epoch
        }
        missing = current.holders() - sealed.keys() - gone
        if missing and self._now() - self._changed_at < _SEAL_TIMEOUT_S:
            self.announce(current)
            return None
        local, remote = self._holders()
        following = next_epoch(
            current, totals=totals, sealed=sealed, gone=gone, local=local, remote=remote
        )
        self._context.environment.log.event(
            'share_epoch_due',
            region=self._region,
            epoch=following.epoch,
            unsealed=len(following.unsealed),
            gone=len(gone),
        )
        return following

    def _is_seal_due(self, current: ShareEpoch, *, totals: dict[str, int], gone: set[str]) -> bool:
        if (
            self._now() - self._changed_at < _MIN_SEAL_INTERVAL_S
            and self._changed_at > self._started
        ):
            return False
        if totals != current.totals:
            return True
        alive = {member.holder for member in self._context.members.alive()}
        if current.unsealed and all(name in alive or name in gone for name in current.unsealed):
            return True
        return bool(gone) and len(gone) >= _MIN_GONE_FRACTION * len(current.holders())

    def _confirmed_gone(self, current: ShareEpoch, *, min_gone_s: float) -> set[str]:
        now = self._now()
        since_by_holder = {
            holder: self._gone_since_by_holder.get(holder, now)
            for holder in current.holders()
            if self._context.members.is_proven_gone(holder)
        }
        self._gone_since_by_holder = since_by_holder
        return {holder for holder, since in since_by_holder.items() if now - since >= min_gone_s}

    def _holders(self) -> tuple[list[str], list[str]]:
        local: list[str] = []
        remote: list[str] = []
        for member in self._context.members.alive():
            is_local = member.region == self._region
            (local if is_local else remote).append(member.holder)
        return sorted(local), sorted(remote)

    def _now(self) -> float:
        return self._context.environment.clock.monotonic()


def _first_number(version: int) -> int:
    """Return the first number of the era of a version, which is above those of earlier eras."""
    era, _ = split_version(version)
    return join_version(era=era, number=1)
