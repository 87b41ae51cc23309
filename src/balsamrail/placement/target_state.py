"""The load and health of a target as seen by a host."""

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import Protocol

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.choice_inputs import ChoiceInputs
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.path_monitor import PathMonitor
from balsamrail.placement.reported_load import ReportedLoad
from balsamrail.placement.route_run_times import RouteRunTimes
from balsamrail.placement.target_attempt import AttemptOutcome, TargetAttempt
from balsamrail.placement.target_availability import TargetAvailability
from balsamrail.placement.target_health import TargetHealth

# The weight of a load report falls linearly to zero over this time, since it gets out of date.
_REPORT_TTL_S = 2.5
# As a report gets out of date, the usual load replaces it, the mean of the reports. It fades too,
# so that a target that was busy gets requests, and reports, again.
_USUAL_LOAD_WEIGHT = 0.2
_USUAL_LOAD_TTL_S = 10.0
# A moment in which a target is slow lasts about as long, so an older figure tells little.
_SLOWDOWN_TTL_S = 0.5
# Exceeds the number of objects that a target caches.
_MAX_KNOWN_OBJECTS = 64
# Two concurrent requests that take this many times as long as expected show that a target is slow
# before either is answered.
_OVERDUE_RATIO = 2.5
_MIN_OVERDUE_ATTEMPTS = 2
# Responses often take this long, so a shorter silence does not mean that a target is down.
_MIN_SILENCE_S = 0.4
_MAX_SILENCE_S = 3.0
# The silence that is allowed to a target, as a fraction of the latency objective of a request that
# it runs. A run usually takes half of the objective, and three times as long for an unknown object.
_SILENCE_RATIO = 0.8
_UNKNOWN_SILENCE_RATIO = 2.0


class Closable(Protocol):
    """A connection that can be closed."""

    def close(self) -> None:
        """Close the connection."""


@dataclass(slots=True, kw_only=True, eq=False)
class TargetState:
    """The state of one incarnation of a target.

    :param times: the median run times, shared by all targets.
    :param busy: the targets with requests in flight, in the order in which these began, shared by
        all targets.
    :param paths: the state of this host's paths to targets, shared by all targets.
    :param last_response_at: the time of the last response, or of the first request since then.
    :param health: the health as derived from recent responses.
    :param availability: the availability of the target.
    :param check_at: the time of the next health check if the target is down.
    :param failures: the number of consecutive failures.
    :param retryable_connections: connections whose requests may safely be retried at another
        target.
    """

    entry: TargetEntry
    times: RouteRunTimes = field(default_factory=RouteRunTimes)
    busy: dict['TargetState', None] = field(default_factory=dict)
    paths: PathMonitor = field(default_factory=PathMonitor)
    health: TargetHealth = field(default_factory=TargetHealth)
    availability: TargetAvailability = field(default_factory=TargetAvailability)
    check_at: float = 0
    failures: int = 0
    retryable_connections: set[Closable] = field(default_factory=set)
    last_response_at: float = 0
    _attempts: dict[TargetAttempt, None] = field(default_factory=dict)
    _known_objects: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _other_hosts_load: float = 0
    _reported_at: float = 0
    _reported_slowdown: float = 1.0
    _usual_other_hosts_load: float = 0

    @property
    def is_down(self) -> bool:
        """Whether the target refused or dropped a connection and has not responded since."""
        return self.availability.down_since is not None

    @property
    def in_flight(self) -> int:
        """The number of requests of this host that are in flight at the target."""
        return len(self._attempts)

    def begin(self, *, route: str, object_key: str, aim_s: float, now: float) -> TargetAttempt:
        """Record that a request is sent to the target; pass the result to :meth:`end`.

        :param aim_s: the latency objective of the route, in seconds.
        """
        if not self._attempts:
            self.last_response_at = now
        queue_factor = max(1.0, (self.load(now=now) + 1) / self.entry.slots)
        is_known = object_key in self._known_objects
        median_s = self.times.median_s(route) if is_known else None
        silence_ratio = _SILENCE_RATIO if is_known else _UNKNOWN_SILENCE_RATIO
        attempt = TargetAttempt(
            route=route,
            sent_at=now,
            expected_s=None if median_s is None else median_s * queue_factor,
            queue_factor=queue_factor,
            is_known=is_known,
            max_silence_s=min(max(_MIN_SILENCE_S, aim_s * silence_ratio), _MAX_SILENCE_S),
        )
        self._record_known_object(object_key)
        self._attempts[attempt] = None
        self.busy.setdefault(self)
        return attempt

    def end(self, attempt: TargetAttempt, ending: AttemptOutcome, *, now: float) -> None:
        """Record the outcome of a request."""
        are_several_overdue = self._overdue(now) >= _MIN_OVERDUE_ATTEMPTS
        del self._attempts[attempt]
        if not self._attempts:
            self.busy.pop(self, None)
        took_s = now - attempt.sent_at
        match ending:
            case AttemptOutcome.answered:
                self.last_response_at = now
                self._record_run(attempt, took_s, now)
            case AttemptOutcome.refused:
                self.last_response_at = now
                if self.fill(now=now) < 1:
                    self.health.note_loss(now=now)
            case AttemptOutcome.failed:
                self.last_response_at = now
                self.health.note_loss(now=now)
            case AttemptOutcome.timed_out:
                # A single missing response counts as lost; several show that the target is slow.
                if are_several_overdue and attempt.expected_s:
                    self.health.note_duration(took_s / attempt.expected_s, now=now)
                elif attempt.expected_s:
                    self.health.note_loss(now=now)

    def is_bad(self, *, now: float) -> bool:
        """Return whether the target is slow or failing, so that other targets are preferred."""
        return self.health.is_bad(now=now) or self._overdue(now) >= _MIN_OVERDUE_ATTEMPTS

    def silent_s(self, *, now: float) -> float:
        """Return for how long pending requests have got no response, 0 if none is pending."""
        return now - self.last_response_at if self._attempts else 0

    def silence_ends_at(self, *, is_suspected: bool) -> float:
        """Return until when the target may send nothing without being suspected of a failure.

        A response to one request is a sign of life for all, so each request allows some silence
        from the last response on. The result is infinite if none is pending.

        :param is_suspected: whether other evidence points to a failure, so that the shortest
            silence is enough.
        """
        return min(
            (
                max(attempt.sent_at, self.last_response_at)
                + (_MIN_SILENCE_S if is_suspected else attempt.max_silence_s)
                for attempt in self._attempts
            ),
            default=math.inf,
        )

    def note_down(self, *, check_at: float, now: float) -> None:
        """Exclude the target, which was found unreachable, until a health check succeeds."""
        self.paths.note_failure(self.entry.target_id, now=now)
        self.availability.note_down(now=now)
        self.check_at = check_at

    def is_lost_with_paths(self) -> bool:
        """Return whether the target is down since this host lost its paths to all targets."""
        down_since = self.availability.down_since
        return down_since is not None and self.paths.was_lost(at=down_since)

    def is_check_due(self, *, now: float) -> bool:
        """Return whether the target is down and its next health check is due."""
        return (
            self.availability.exclusion_reason(now=now) is ExclusionReason.down
            and now >= self.check_at
        )

    def close_retryable(self) -> None:
        """Close the connections whose requests may safely be retried at another target."""
        for connection in list(self.retryable_connections):
            connection.close()

    def note_load(self, load: ReportedLoad, *, now: float) -> None:
        """Record the load that the target reported in a response."""
        self._other_hosts_load = max(0, load.running + load.waiting - self.in_flight)
        usual = self._usual_other_hosts_load
        self._usual_other_hosts_load += (self._other_hosts_load - usual) * _USUAL_LOAD_WEIGHT
        self._reported_at = now
        self._reported_slowdown = load.slowdown

    def load(self, *, now: float) -> float:
        """Return the estimated number of requests at the target, including those of other
        hosts."""
        age = max(0, now - self._reported_at)
        weight = max(0, 1 - age / _REPORT_TTL_S)
        usual = self._usual_other_hosts_load * max(0, 1 - age / _USUAL_LOAD_TTL_S)
        return self.in_flight + self._other_hosts_load * weight + usual * (1 - weight)

    def slowdown(self, *, now: float) -> float:
        """Return how long work takes at the target now, relative to its usual time."""
        age = max(0, now - self._reported_at)
        return 1 + (self._reported_slowdown - 1) * max(0, 1 - age / _SLOWDOWN_TTL_S)

    def inputs(self, object_key: str, *, now: float) -> ChoiceInputs:
        """Return the data on which the choice of the target for an object is based."""
        return ChoiceInputs(
            region=self.entry.region,
            fill=self.fill(now=now),
            report_age_s=now - self._reported_at if self._reported_at else None,
            is_known=object_key in self._known_objects,
            is_bad=self.is_bad(now=now),
            slowdown=self.slowdown(now=now),
        )

    def fill(self, *, now: float) -> float:
        """Return the load divided by the slots."""
        return self.load(now=now) / self.entry.slots

    def is_full(self, *, bound: float, now: float) -> bool:
        """Return whether the target is full, see :meth:`TargetAvailability.is_full`."""
        return self.availability.is_full(self.fill(now=now), bound=bound, now=now)

    def is_cold(self, *, now: float) -> bool:
        """Return whether the target tolerates only a low request rate."""
        return self.availability.is_cold(now=now)

    def _overdue(self, now: float) -> int:
        """Return how many of the oldest requests have taken much longer than expected."""
        overdue = 0
        for attempt in self._attempts:
            if attempt.expected_s is None:
                continue
            if now - attempt.sent_at < attempt.expected_s * _OVERDUE_RATIO:
                break
            overdue += 1
        return overdue

    def _record_run(self, attempt: TargetAttempt, took_s: float, now: float) -> None:
        self.times.note_any(attempt.route, took_s / attempt.queue_factor)
        if not attempt.is_known:
            self.health.note_answer(None, now=now)
            return
        self.times.note(attempt.route, took_s / attempt.queue_factor)
        ratio = None if attempt.expected_s is None else took_s / attempt.expected_s
        self.health.note_answer(ratio, now=now)

    def _record_known_object(self, object_key: str) -> None:
        self._known_objects[object_key] = None
        self._known_objects.move_to_end(object_key)
        if len(self._known_objects) > _MAX_KNOWN_OBJECTS:
            self._known_objects.popitem(last=False)
