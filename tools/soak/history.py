"""Recorded events of callers, targets and faults, in event loop time."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from tools.soak.arrival import Arrival
from tools.soak.customers import KeyPeriod
from tools.soak.endless_bytes import EndlessBytes

# Longest time in which a response reaches its host.
_DELIVERY_S = 0.3
WAITS_PERIOD_S = 0.25
# Faults after which a host may have lost or not yet read the announcements of targets.
_RESTARTS_AND_PAUSES = frozenset(('kill', 'pause', 'stop while paused', 'start'))


@dataclass(slots=True, kw_only=True)
class Sent:
    """A request of a caller.

    :param told: done, refused, failed (the request may have run), denied, or cut if no complete
        response arrived.
    :param answered_by: the start of the target whose signature the response has.
    :param customer: who sends it, by the name in the manifest; empty without customers.
    :param key: the API key that it has.
    """

    request_id: str
    host: str
    path: str
    is_idempotent: bool
    sent_at: float
    told: str = 'cut'
    status: int = 0
    ended_at: float = 0
    fault: str = ''
    answered_by: str = ''
    customer: str = ''
    key: str = ''


@dataclass(slots=True, kw_only=True)
class Span:
    """The duration of a fault on a host, or on all hosts if ``host`` is empty."""

    kind: str
    host: str
    begin: float
    end: float = float('inf')


@dataclass(slots=True, kw_only=True)
class History:
    """The events that the promises are checked against.

    :param leaving: time at which the store acknowledged that a target drains or is removed, by
        target id.
    :param manifests: time at which each version was acknowledged, and the service of its read
        route.
    :param evacuated: evacuations; ``host`` is the zone.
    :param waits: (host, time, seconds): how long a host waited for a processor core in the period
        before the time; the name of this process is empty.
    :param key_periods: the API keys of customers, and when they were in the manifest.
    :param disturbed: targets whose connections were reset or silenced, and the times.
    """

    sent: list[Sent] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    streams: list[EndlessBytes] = field(default_factory=list)
    spans: list[Span] = field(default_factory=list)
    stops: list[Span] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    manifests: list[tuple[float, str]] = field(default_factory=list)
    evacuated: list[Span] = field(default_factory=list)
    disturbed: list[tuple[str, float]] = field(default_factory=list)
    waits: list[tuple[str, float, float]] = field(default_factory=list)
    zone_by_target: dict[str, str] = field(default_factory=dict)
    key_periods: list[KeyPeriod] = field(default_factory=list)

    def runs(self) -> list[Arrival]:
        """Return the requests that were executed."""
        return [arrival for arrival in self.arrivals if arrival.has_run]

    def is_undisturbed(self, host: str, begin: float, end: float) -> bool:
        """Return whether no fault affected a host in a time span."""
        return not any(span.host in {'', host} for span in self._spans(begin, end))

    def ran_uninterrupted(self, host: str, begin: float, end: float) -> bool:
        """Return whether a host was neither restarted nor paused in a time span."""
        return not any(
            span.host == host and span.kind in _RESTARTS_AND_PAUSES
            for span in self._spans(begin, end)
        )

    def _spans(self, begin: float, end: float) -> Iterator[Span]:
        return (span for span in self.spans if span.begin <= end and span.end >= begin)

    def was_disturbed(self, target_id: str, at: float) -> bool:
        """Return whether a response sent at a time may have been lost with its connection."""
        return any(
            target_id == disturbed and 0 <= disturbed_at - at <= _DELIVERY_S
            for disturbed, disturbed_at in self.disturbed
        )

    def waited_s(self, host: str, begin: float, end: float) -> float:
        """Return how long a host and this process waited for a processor core in a time span."""
        return sum(
            waited_s
            for name, at, waited_s in self.waits
            if name in {'', host} and begin <= at <= end + WAITS_PERIOD_S
        )
