"""Registry of the states of all targets."""

import contextlib
import copy
from collections import OrderedDict
from collections.abc import Iterator
from typing import Any

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.exclusion import Exclusion
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.path_monitor import PathMonitor
from balsamrail.placement.route_run_times import RouteRunTimes
from balsamrail.placement.target_availability import TargetAvailability
from balsamrail.placement.target_order import TargetOrder
from balsamrail.placement.target_state import TargetState
from balsamrail.settings import Settings

# The number of deregistered incarnations whose availability is kept. A store outage can remove and
# restore the entries of all targets of a site, a few hundred.
_MAX_DEREGISTERED_STARTS = 2_048


class TargetRegistry:
    """Keeps a :class:`TargetState` for the current incarnation of each registered target.

    An entry may be removed and restored for the same incarnation, for example by an outage of the
    store. What the target announced stays in force then.

    :param catalog: provides the registered targets.
    """

    __slots__ = (
        '_catalog',
        '_deregistered_by_start',
        '_evacuated_zones',
        '_orders_by_scope',
        '_region_by_zone',
        '_settings',
        '_times',
        'busy',
        'paths',
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
        self._times = RouteRunTimes()
        # The targets with requests in flight, also those that are no longer registered.
        self.busy: dict[TargetState, None] = {}
        self.paths = PathMonitor()
        self.states_by_id: dict[str, TargetState] = {}
        self._deregistered_by_start: OrderedDict[tuple[str, int], TargetAvailability] = (
            OrderedDict()
        )
        self._orders_by_scope: dict[tuple[str, frozenset[str]], TargetOrder] = {}

    def refresh(self, *, now: float) -> None:
        """Update the states from the catalog."""
        entries = self._catalog.entries_by_id
        changed = {
            self._remove_state(target_id).entry.service
            for target_id in self.states_by_id.keys() - entries.keys()
        }
        for target_id, entry in entries.items():
            state = self.states_by_id.get(target_id)
            if state is None or entry is not state.entry:
                changed.add(entry.service)
                if state is not None:
                    changed.add(state.entry.service)
                self._refresh_one(target_id, entry, now)
        self._invalidate_orders(changed)

    def state_of(self, target_id: str) -> TargetState | None:
        """Return the state of a target, ``None`` if it is not registered."""
        return self.states_by_id.get(target_id)

    def locality_exclusion(
        self, entry: TargetEntry, *, allowed_regions: frozenset[str]
    ) -> ExclusionReason | None:
        """Return why a request may not be sent to the location of a target, ``None`` if it may.

        :param allowed_regions: the regions in which it may be processed; empty if anywhere.
        """
        if entry.availability_zone in self._catalog.evacuated_zones:
            return ExclusionReason.evacuated
        if allowed_regions and entry.region not in allowed_regions:
            return ExclusionReason.confined
        return None

    @contextlib.contextmanager
    def limits_kept(self) -> Iterator[None]:
        """Undo at the end what was noted meanwhile about the limits that targets named."""
        kept = [
            (state.availability, copy.copy(state.availability.limit))
            for state in self.states_by_id.values()
            if state.availability.limit is not None
        ]
        try:
            yield
        finally:
            for availability, limit in kept:
                availability.limit = limit

    def down_fraction(self) -> float:
        """Return the fraction of the targets that are down."""
        are_down = [state.is_down for state in self.states_by_id.values()]
        return sum(are_down) / len(are_down) if are_down else 0

    def cold_rate_of(self, service: str) -> float:
        """Return the request rate per second for a cold target, for all hosts together."""
        manifest = self._catalog.manifest
        spec = manifest.services.get(service) if manifest else None
        rate = spec.warmup_per_s if spec else 0
        return rate * self._settings.bounds.cold_overage + self._settings.bounds.cold_slack

    def order_of(self, service: str, *, allowed_regions: frozenset[str]) -> TargetOrder:
        """Return the order of the usable targets of a service.

        :param allowed_regions: the regions whose targets may be used; empty if all.
        """
        scope = (service, allowed_regions)
        order = self._orders_by_scope.get(scope)
        if order is None:
            order = TargetOrder(
                self._usable_entries(service, allowed_regions),
                region_by_zone=self._region_by_zone,
                own_zone=self._settings.availability_zone,
                own_region=self._settings.region,
            )
            self._orders_by_scope[scope] = order
        return order

    def dump(self, *, now: float) -> dict[str, Any]:
        """Return the states as plain data."""
        return {
            target_id: {
                'in_flight': state.in_flight,
                'fill': round(state.fill(now=now), 2),
                'failures': state.failures,
                'slowness': round(state.health.slowness, 2),
                'losses': round(state.health.loss_rate, 2),
                'is_bad': state.is_bad(now=now),
                'ruled_out': [
                    _exclusion_dump(exclusion, now)
                    for exclusion in state.availability.exclusions(now=now)
                ],
            }
            for target_id, state in self.states_by_id.items()
        }

    def _invalidate_orders(self, services: set[str]) -> None:
        if self._catalog.evacuated_zones != self._evacuated_zones:
            self._evacuated_zones = self._catalog.evacuated_zones
            self._orders_by_scope.clear()
        for scope in list(self._orders_by_scope):
            if scope[0] in services:
                del self._orders_by_scope[scope]

    def _refresh_one(self, target_id: str, entry: TargetEntry, now: float) -> None:
        state = self.states_by_id.get(target_id)
        if state is not None and state.entry.born_ms != entry.born_ms:
            self._remove_state(target_id)
            state = None
        if state is None:
            state = TargetState(
                entry=entry,
                times=self._times,
                busy=self.busy,
                paths=self.paths,
                availability=self._availability_of(entry),
            )
            self.states_by_id[target_id] = state
        state.entry = entry
        state.availability.note_draining(entry.is_draining, now=now)
        if entry.cold_left_s:
            state.availability.note_cold(now + entry.cold_left_s, now=now)

    def _remove_state(self, target_id: str) -> TargetState:
        """Remove the state of a target, but keep its availability in case its entry is restored."""
        state = self.states_by_id.pop(target_id)
        self._deregistered_by_start[target_id, state.entry.born_ms] = state.availability
        if len(self._deregistered_by_start) > _MAX_DEREGISTERED_STARTS:
            self._deregistered_by_start.popitem(last=False)
        return state

    def _availability_of(self, entry: TargetEntry) -> TargetAvailability:
        availability = self._deregistered_by_start.pop((entry.target_id, entry.born_ms), None)
        if availability is None:
            return TargetAvailability()
        # The registration is more recent evidence than the failures that this host observed.
        availability.note_up()
        return availability

    def _usable_entries(
        self, service: str, allowed_regions: frozenset[str]
    ) -> Iterator[TargetEntry]:
        for entry in self._catalog.targets_of(service):
            if self.locality_exclusion(entry, allowed_regions=allowed_regions) is None:
                yield entry


def _exclusion_dump(exclusion: Exclusion, now: float) -> dict[str, Any]:
    """Return an exclusion with relative times; the event loop's clock has no meaning outside."""
    left_s = None if exclusion.until is None else round(exclusion.until - now, 3)
    return {
        'reason': exclusion.reason.value,
        'for_s': round(now - exclusion.since, 3),
        'left_s': left_s,
    }
