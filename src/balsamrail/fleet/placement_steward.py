"""Assigns the objects of the region while this host is its steward."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from balsamrail.environment import Environment
from balsamrail.fleet.stewards import steward_of
from balsamrail.membership import Member
from balsamrail.membership.network import Network
from balsamrail.messages import (
    ObjectRates,
    PlacedLoad,
    PlacementQuery,
    PlacementUpdate,
    TargetSamples,
)
from balsamrail.placement.assigner import Assigner
from balsamrail.placement.demand_meter import Demand, TargetSample
from balsamrail.placement.placement_table import PlacementTable
from balsamrail.placement.target_room import TargetRoom

_LOAD_S = 1.0
_FOREIGN_LIFE_S = 4.0
# An update may be on its way; a host that stays behind for longer has missed one.
_BEHIND_S = 0.8
_MS_IN_S = 1_000
_THOUSANDTHS = 1_000
# Part of the bound on shifts between regions that is used, since callers vary by themselves.
_SHIFT_PART = 0.25


class KnownMembers(Protocol):
    """The member table."""

    def alive(self) -> list[Member]:
        """Return the members that are alive, this host included."""

    def own(self) -> Member:
        """Return this host."""


class PlacementSteward:
    """Answers queries of the region's hosts and tells them of moves.

    :param rooms: gives the targets as they are now.
    """

    __slots__ = (
        '_assigner',
        '_behind_by_host',
        '_environment',
        '_foreign_by_region',
        '_members',
        '_network',
        '_rooms',
        '_sent_load_at',
        '_table',
        '_version',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        network: Network,
        members: KnownMembers,
        table: PlacementTable,
        rooms: Callable[[], Iterable[TargetRoom]],
    ) -> None:
        self._environment = environment
        self._network = network
        self._members = members
        self._table = table
        self._rooms = rooms
        self._assigner: Assigner | None = None
        self._foreign_by_region: dict[str, tuple[float, dict[str, int]]] = {}
        self._sent_load_at = 0.0
        self._version = 0
        self._behind_by_host: dict[str, tuple[int, float]] = {}
        network.subscribe(PlacementQuery, self._answer)
        network.subscribe(ObjectRates, self._take_rates)
        network.subscribe(TargetSamples, self._take_samples)
        network.subscribe(PlacedLoad, self._take_load)

    @property
    def is_active(self) -> bool:
        """Whether this host is the steward."""
        return self._assigner is not None

    def place(self, scope: str, bucket: int) -> str | None:
        """Return the target of a bucket and tell the region if it is new."""
        if self._assigner is None:
            return None
        known = self._table.target_of(scope, bucket)
        target_id = self._assigner.place(scope, bucket)
        if target_id is not None and target_id != known:
            self._publish(scope, {bucket: target_id})
        return target_id

    def note_own(self, demand: Demand) -> None:
        """Count what this host's own callers asked for."""
        if self._assigner is not None:
            self._assigner.note_demand(demand)

    def targets_changed(self) -> None:
        """Move objects off targets that cannot be used any more."""
        if self._assigner is not None:
            self._assigner.set_targets(self._rooms())
            self._publish_moves(self._assigner.move_off_unusable())

    async def tick(self, elapsed_s: float) -> None:
        """Take up or leave the duty, and follow the load while it is held."""
        own = self._members.own()
        if steward_of(self._members.alive(), region=own.region) != own.host:
            self._leave()
            return
        assigner = self._assigner or self._take_up()
        assigner.set_targets(self._rooms())
        assigner.set_foreign_load(self._foreign_load())
        self._publish_moves(assigner.tick(elapsed_s))
        now = self._environment.clock.monotonic()
        if now - self._sent_load_at >= _LOAD_S:
            self._sent_load_at = now
            await self._send_load(assigner)

    def dump(self) -> dict[str, Any]:
        """Return the use of the targets while this host is the steward."""
        targets = self._assigner.dump() if self._assigner is not None else {}
        return {'is_active': self.is_active, 'version': self._version, 'targets': targets}

    def _take_up(self) -> Assigner:
        bounds = self._environment.settings.bounds
        assigner = Assigner(
            region=self._environment.settings.region,
            shift_per_s=bounds.max_shift * _SHIFT_PART,
        )
        assigner.set_targets(self._rooms())
        for scope, targets in self._table.scopes().items():
            for bucket, target_id in targets.items():
                assigner.adopt(scope, bucket, target_id)
        self._assigner = assigner
        self._behind_by_host.clear()
        self._environment.log.event('steward_started')
        return assigner

    def _leave(self) -> None:
        if self._assigner is not None:
            self._assigner = None
            self._environment.log.event('steward_ended')

    def _foreign_load(self) -> dict[str, float]:
        now = self._environment.clock.monotonic()
        total: Counter[str] = Counter()
        for region, (heard_at, loads) in list(self._foreign_by_region.items()):
            if now - heard_at > _FOREIGN_LIFE_S:
                del self._foreign_by_region[region]
            else:
                total.update(loads)
        return {target_id: amount / _THOUSANDTHS for target_id, amount in total.items()}

    async def _send_load(self, assigner: Assigner) -> None:
        own = self._environment.settings.region
        message = PlacedLoad(
            region=own,
            thousandths_by_target={
                target_id: int(load * _THOUSANDTHS)
                for target_id, load in assigner.load_by_target().items()
            },
        )
        alive = self._members.alive()
        for region in sorted({member.region for member in alive} - {own}):
            steward = steward_of(alive, region=region)
            if steward is not None:
                await self._network.send(steward, message)

    def _publish_moves(self, moved: Iterable[Any]) -> None:
        by_scope: dict[str, dict[int, str]] = {}
        for load in moved:
            by_scope.setdefault(load.scope, {})[load.bucket] = load.target_id
        for scope, targets in by_scope.items():
            self._environment.log.event('objects_moved', scope=scope, count=len(targets))
            self._publish(scope, targets)

    def _publish(self, scope: str, targets: dict[int, str]) -> None:
        for bucket, target_id in targets.items():
            self._table.assign(scope, bucket, target_id)
        self._version += 1
        update = _update(self._version, scope, targets, is_full=False)
        own = self._members.own()
        hosts = [
            member.host
            for member in self._members.alive()
            if member.region == own.region and member.host != own.host
        ]
        asyncio.create_task(self._send_all(hosts, update))

    async def _send_all(self, hosts: list[str], update: PlacementUpdate) -> None:
        for host in hosts:
            await self._network.send(host, update)

    async def _send_table(self, host: str) -> None:
        for scope, targets in self._table.scopes().items():
            await self._network.send(host, _update(self._version, scope, targets, is_full=True))

    def _answer(self, host: str, query: PlacementQuery) -> None:
        if self._assigner is None:
            return
        known = self._table.target_of(query.scope, query.bucket)
        target_id = self.place(query.scope, query.bucket)
        if target_id is not None and target_id == known:
            update = _update(0, query.scope, {query.bucket: target_id}, is_full=False)
            asyncio.create_task(self._send_all([host], update))

    def _take_rates(self, host: str, rates: ObjectRates) -> None:
        if self._assigner is None:
            return
        self._repair(host, rates.version)
        counts = Counter(dict(zip(rates.buckets, rates.counts, strict=False)))
        self._assigner.note_demand(Demand(counts_by_scope={rates.scope: counts}))

    def _repair(self, host: str, version: int) -> None:
        """Send the whole table to a host that has been behind for some time."""
        now = self._environment.clock.monotonic()
        seen_version, since = self._behind_by_host.get(host, (-1, now))
        if version == self._version:
            self._behind_by_host.pop(host, None)
        elif version == 0 and seen_version != 0:
            self._behind_by_host[host] = (version, now)
            asyncio.create_task(self._send_table(host))
        elif version != seen_version:
            self._behind_by_host[host] = (version, now)
        elif now - since >= _BEHIND_S:
            self._behind_by_host[host] = (version, now)
            asyncio.create_task(self._send_table(host))

    def _take_samples(self, host: str, samples: TargetSamples) -> None:
        if self._assigner is None:
            return
        rows = zip(
            samples.target_ids,
            samples.answers,
            samples.busy_ms,
            samples.ended,
            samples.failures,
            strict=False,
        )
        by_target = {
            target_id: TargetSample(
                answers=answers, busy_s=busy_ms / _MS_IN_S, ended=ended, failures=failures
            )
            for target_id, answers, busy_ms, ended, failures in rows
        }
        self._assigner.note_demand(Demand(samples_by_target=by_target))

    def _take_load(self, host: str, load: PlacedLoad) -> None:
        now = self._environment.clock.monotonic()
        self._foreign_by_region[load.region] = (now, load.thousandths_by_target)


def _update(
    version: int, scope: str, targets: dict[int, str], *, is_full: bool
) -> PlacementUpdate:
    target_ids = sorted(set(targets.values()))
    number_by_id = {target_id: number for number, target_id in enumerate(target_ids)}
    return PlacementUpdate(
        version=version,
        scope=scope,
        is_full=is_full,
        buckets=list(targets),
        target_ids=target_ids,
        target_numbers=[number_by_id[target_id] for target_id in targets.values()],
    )
