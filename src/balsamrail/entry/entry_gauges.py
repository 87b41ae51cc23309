"""Gauges of an entry host, computed when its metrics are read."""

from collections import Counter
from collections.abc import Iterator, Sequence

from balsamrail.catalog.catalog import Catalog
from balsamrail.clock import Clock
from balsamrail.delivery.dispatcher import Dispatcher
from balsamrail.fleet.manifest_lease import ManifestLease
from balsamrail.fleet.store_watch import StoreWatch
from balsamrail.gauge import Gauge
from balsamrail.membership import Members
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState

# Reasons that rule out a target independent of the request, or let it get few requests.
_REASONS = tuple(
    reason.value
    for reason in (
        ExclusionReason.leaving,
        ExclusionReason.draining,
        ExclusionReason.refusing,
        ExclusionReason.down,
        ExclusionReason.cold,
        ExclusionReason.limited,
    )
)


class EntryGauges:
    """Computes gauges from the current state of the components."""

    __slots__ = (
        '_catalog',
        '_clock',
        '_dispatcher',
        '_manifest_lease',
        '_members',
        '_target_registry',
        '_watch',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        catalog: Catalog,
        target_registry: TargetRegistry,
        dispatcher: Dispatcher,
        members: Members,
        watch: StoreWatch,
        manifest_lease: ManifestLease,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._target_registry = target_registry
        self._dispatcher = dispatcher
        self._members = members
        self._watch = watch
        self._manifest_lease = manifest_lease

    def read(self) -> Iterator[Gauge]:
        """Yield all gauges."""
        manifest = self._catalog.manifest
        yield Gauge(name='manifest_version', value=manifest.version if manifest else 0)
        yield Gauge(name='evacuated_zones', value=len(self._catalog.evacuated_zones))
        yield from self._store()
        yield Gauge(name='members', label='state', value_by_label=self._members_by_state())
        yield from self._targets()
        yield Gauge(
            name='second_attempts_left',
            label='service',
            value_by_label=self._dispatcher.remaining_retries(),
        )

    def _store(self) -> Iterator[Gauge]:
        yield Gauge(name='store_heard', value=self._watch.receives_changes())
        yield Gauge(name='store_hops', value=self._watch.hops())
        yield Gauge(name='store_up_seconds', value=self._watch.store_up_for_s())
        if self._manifest_lease.is_required():
            yield Gauge(name='manifest_age_s', value=self._manifest_lease.reported_age_s())

    def _members_by_state(self) -> Counter[str]:
        return Counter(
            member.state for member in (self._members.local_member(), *self._members.known())
        )

    def _targets(self) -> Iterator[Gauge]:
        now = self._clock.monotonic()
        states = list(self._target_registry.states_by_id.values())
        yield Gauge(
            name='targets_known',
            label='service',
            value_by_label=Counter(state.entry.service for state in states),
        )
        yield from self._ruled_out(states, now)
        in_flight = Counter[str]()
        for state in states:
            in_flight[state.entry.service] += state.in_flight
        yield Gauge(name='requests_at_targets', label='service', value_by_label=in_flight)

    def _ruled_out(self, states: Sequence[TargetState], now: float) -> Iterator[Gauge]:
        """Yield the number of targets ruled out by each reason, and the longest duration of each."""
        count_by_reason = {reason: Counter[str]() for reason in _REASONS}
        longest_s_by_reason: dict[str, float] = dict.fromkeys(_REASONS, 0)
        for known in states:
            for ruling in known.availability.exclusions(now=now):
                reason = ruling.reason.value
                count_by_reason[reason][known.entry.service] += 1
                for_s = now - ruling.since
                longest_s_by_reason[reason] = max(longest_s_by_reason[reason], for_s)
        bad = (state.entry for state in states if state.is_bad(now=now))
        count_by_reason['bad'] = Counter(entry.service for entry in bad)
        for name, count_by_service in count_by_reason.items():
            yield Gauge(name=f'targets_{name}', label='service', value_by_label=count_by_service)
        yield Gauge(
            name='targets_ruled_out_longest_seconds',
            label='reason',
            value_by_label=longest_s_by_reason,
        )
