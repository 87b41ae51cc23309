"""Finds the targets of objects, as steward or through the steward."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.fleet.placement_client import PlacementClient
from balsamrail.fleet.placement_steward import KnownMembers, PlacementSteward
from balsamrail.fleet.stewards import steward_of
from balsamrail.membership.network import Network
from balsamrail.placement.demand_meter import DemandMeter
from balsamrail.placement.placement_table import PlacementTable
from balsamrail.placement.target_room import TargetRoom

_TICK_S = 0.5
_REPORT_TICKS = 2


class PlacementService:
    """Where the objects of this region's callers are placed."""

    __slots__ = ('_client', '_environment', '_members', '_steward', 'meter', 'table')

    def __init__(
        self,
        *,
        environment: Environment,
        network: Network,
        members: KnownMembers,
        rooms: Callable[[], Iterable[TargetRoom]],
    ) -> None:
        self._environment = environment
        self._members = members
        self.meter = DemandMeter()
        self.table = PlacementTable()
        self._steward = PlacementSteward(
            environment=environment,
            network=network,
            members=members,
            table=self.table,
            rooms=rooms,
        )
        self._client = PlacementClient(
            environment=environment,
            network=network,
            table=self.table,
            steward=self._steward_host,
        )

    async def locate(
        self, scope: str, bucket: int, *, is_usable: Callable[[str], bool]
    ) -> str | None:
        """Return the target of a bucket, ``None`` if there is none that can be used.

        :param is_usable: tells whether this host can use a target.
        """
        known = self.table.target_of(scope, bucket)
        if known is not None and is_usable(known):
            return known
        if self._steward.is_active:
            found = self._steward.place(scope, bucket)
        else:
            found = await self._client.ask(scope, bucket)
        return found if found is not None and is_usable(found) else None

    def targets_changed(self) -> None:
        """Follow a change of the targets."""
        self._steward.targets_changed()

    async def run(self) -> None:
        """Assign or report until cancelled."""
        clock = self._environment.clock
        before = clock.monotonic()
        ticks = 0
        while True:
            await asyncio.sleep(_TICK_S)
            now = clock.monotonic()
            ticks += 1
            is_start = ticks == 1
            if self._steward.is_active:
                self._steward.note_own(self.meter.take())
            elif is_start or ticks % _REPORT_TICKS == 0:
                await self._client.report(self.meter.take())
            await self._steward.tick(max(now - before, _TICK_S / 2))
            before = now

    def dump(self) -> dict[str, Any]:
        """Return the placement as plain data."""
        return {
            'steward': self._steward.dump(),
            'client': self._client.dump(),
            'buckets_by_target': self.table.dump(),
        }

    def _steward_host(self) -> str | None:
        return steward_of(self._members.alive(), region=self._environment.settings.region)
