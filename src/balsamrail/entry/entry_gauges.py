"""Figures of an entry host that are measured when its metrics are read."""

from collections import Counter
from collections.abc import Iterator

from balsamrail.catalog.catalog import Catalog
from balsamrail.clock import Clock
from balsamrail.delivery.dispatcher import Dispatcher
from balsamrail.fleet.store_watch import StoreWatch
from balsamrail.gauge import Gauge
from balsamrail.membership import Members
from balsamrail.placement.target_book import TargetBook


class EntryGauges:
    """Reads the state of the parts; nothing is kept."""

    __slots__ = ('_book', '_catalog', '_clock', '_dispatcher', '_members', '_watch')

    def __init__(
        self,
        *,
        clock: Clock,
        catalog: Catalog,
        book: TargetBook,
        dispatcher: Dispatcher,
        members: Members,
        watch: StoreWatch,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._book = book
        self._dispatcher = dispatcher
        self._members = members
        self._watch = watch

    def read(self) -> Iterator[Gauge]:
        """Give all figures."""
        manifest = self._catalog.manifest
        yield Gauge(name='manifest_version', value=manifest.version if manifest else 0)
        yield Gauge(name='evacuated_zones', value=len(self._catalog.evacuated_zones))
        yield Gauge(name='store_heard', value=self._watch.hears())
        yield Gauge(name='store_hops', value=self._watch.hops())
        yield Gauge(name='store_up_seconds', value=self._watch.store_up_for_s())
        yield Gauge(name='members', label='state', value_by_label=self._members_by_state())
        yield from self._targets()
        yield Gauge(
            name='second_attempts_left',
            label='service',
            value_by_label=self._dispatcher.second_attempts_left(),
        )

    def _members_by_state(self) -> Counter[str]:
        return Counter(member.state for member in (self._members.own(), *self._members.known()))

    def _targets(self) -> Iterator[Gauge]:
        now = self._clock.monotonic()
        states = list(self._book.states_by_id.values())
        counts = {
            'targets_known': Counter(state.entry.service for state in states),
            'targets_down': Counter(state.entry.service for state in states if state.is_down),
            'targets_cold': Counter(
                state.entry.service for state in states if state.is_cold(now=now)
            ),
            'targets_bad': Counter(
                state.entry.service for state in states if state.is_bad(now=now)
            ),
            'targets_draining': Counter(
                state.entry.service for state in states if state.entry.is_draining
            ),
        }
        for name, count_by_service in counts.items():
            yield Gauge(name=name, label='service', value_by_label=count_by_service)
        in_flight = Counter[str]()
        for state in states:
            in_flight[state.entry.service] += state.in_flight
        yield Gauge(name='requests_at_targets', label='service', value_by_label=in_flight)
