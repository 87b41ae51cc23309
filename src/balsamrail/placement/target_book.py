"""The states of all targets."""

from collections.abc import Iterator
from typing import Any

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.object_order import ObjectOrder
from balsamrail.placement.route_times import RouteTimes
from balsamrail.placement.target_state import TargetState
from balsamrail.settings import Settings


class TargetBook:
    """Keeps a :class:`TargetState` for each start of each registered target.

    :param catalog: tells which targets are registered.
    """

    __slots__ = (
        '_catalog',
        '_evacuated_zones',
        '_orders_by_scope',
        '_region_by_zone',
        '_settings',
        '_times',
        'states_by_id',
    )

    def __init__(self, *, catalog: Catalog, settings: Settings) -> None:
        self._catalog = catalog
        self._settings = settings
        self._region_by_zone = {
            settings.availability_zone: settings.region,
            **settings.region_by_availability_zone,
        }
        self._evacuated_zones: frozenset[str] = frozenset()
        self._times = RouteTimes()
        self.states_by_id: dict[str, TargetState] = {}
        self._orders_by_scope: dict[tuple[str, frozenset[str]], ObjectOrder] = {}

    def refresh(self, *, now: float) -> None:
        """Take over what the catalog says of the targets."""
        entries = self._catalog.entries_by_id
        changed = {
            self.states_by_id.pop(target_id).entry.service
            for target_id in self.states_by_id.keys() - entries.keys()
        }
        for target_id, entry in entries.items():
            state = self.states_by_id.get(target_id)
            if state is None or entry is not state.entry:
                changed.add(entry.service)
                if state is not None:
                    changed.add(state.entry.service)
                self._refresh_one(target_id, entry, now)
        self._drop_orders(changed)

    def state_of(self, target_id: str) -> TargetState | None:
        """Return what is known of a target, ``None`` if it is not registered."""
        return self.states_by_id.get(target_id)

    def cold_rate_of(self, service: str) -> float:
        """Return how many requests a second a cold target may get from all hosts together."""
        manifest = self._catalog.manifest
        spec = manifest.services.get(service) if manifest else None
        rate = spec.warmup_per_s if spec else 0
        return rate * self._settings.bounds.cold_overage + self._settings.bounds.cold_slack

    def order_of(self, service: str, *, allowed_regions: frozenset[str]) -> ObjectOrder:
        """Return the order of a service's targets that may be used in some regions.

        :param allowed_regions: the regions, all of them if empty.
        """
        scope = (service, allowed_regions)
        order = self._orders_by_scope.get(scope)
        if order is None:
            order = ObjectOrder(
                self._usable_entries(service, allowed_regions),
                region_by_zone=self._region_by_zone,
                own_zone=self._settings.availability_zone,
                own_region=self._settings.region,
            )
            self._orders_by_scope[scope] = order
        return order

    def dump(self) -> dict[str, Any]:
        """Return the states as plain data."""
        return {
            target_id: {
                'in_flight': state.in_flight,
                'failures': state.failures,
                'slowness': round(state.evidence.slowness, 2),
                'losses': round(state.evidence.losses, 2),
                'cold_until': state.cold_until,
                'is_down': state.is_down,
            }
            for target_id, state in self.states_by_id.items()
        }

    def _drop_orders(self, services: set[str]) -> None:
        if self._catalog.evacuated_zones != self._evacuated_zones:
            self._evacuated_zones = self._catalog.evacuated_zones
            self._orders_by_scope.clear()
        for scope in list(self._orders_by_scope):
            if scope[0] in services:
                del self._orders_by_scope[scope]

    def _refresh_one(self, target_id: str, entry: TargetEntry, now: float) -> None:
        state = self.states_by_id.get(target_id)
        if state is None or state.entry.born_ms != entry.born_ms:
            self.states_by_id[target_id] = TargetState(
                entry=entry, times=self._times, cold_until=now + entry.cold_left_s
            )
            return
        if entry.cold_left_s:
            state.cold_until = max(state.cold_until, now + entry.cold_left_s)
        state.entry = entry

    def _usable_entries(
        self, service: str, allowed_regions: frozenset[str]
    ) -> Iterator[TargetEntry]:
        for entry in self._catalog.targets_of(service):
            is_evacuated = entry.availability_zone in self._catalog.evacuated_zones
            if not is_evacuated and (not allowed_regions or entry.region in allowed_regions):
                yield entry
