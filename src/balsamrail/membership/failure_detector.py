"""Failure detection between ring neighbours, based on heartbeats."""

from collections.abc import Iterable

from balsamrail.environment import Environment
from balsamrail.membership.members import Members

# A longer gap between two ticks, in heartbeat intervals, means that this process was paused.
_PAUSE_THRESHOLD_HEARTBEATS = 2


class FailureDetector:
    """Monitors the successors and predecessors of this host on the rings.

    The side that opened a stream expects acknowledgements of its heartbeats, and the accepting
    side expects the heartbeats. Each host thus has up to six observers without extra messages.

    :param detect_pauses: whether the time in which this process was paused is excluded from the
        silence of its neighbours.
    """

    __slots__ = (
        '_detect_pauses',
        '_environment',
        '_last_received_at_by_host',
        '_last_tick_at',
        '_members',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: Members,
        detect_pauses: bool = True,
    ) -> None:
        self._environment = environment
        self._members = members
        self._detect_pauses = detect_pauses
        self._last_received_at_by_host: dict[str, float] = {}
        self._last_tick_at = environment.clock.monotonic()

    def watch(self, hosts: Iterable[str]) -> None:
        """Monitor exactly these hosts; the timeout of a new one starts now."""
        now = self._environment.clock.monotonic()
        self._last_received_at_by_host = {
            host: self._last_received_at_by_host.get(host, now) for host in hosts
        }

    def record_message(self, host: str) -> None:
        """Record that a message from a host has arrived."""
        if host in self._last_received_at_by_host:
            self._last_received_at_by_host[host] = self._environment.clock.monotonic()

    def tick(self) -> float:
        """Return for how many seconds this process was paused, normally 0, and compensate for it.

        Without compensation, a host that resumes after a pause would take all its neighbours for
        silent.
        """
        now = self._environment.clock.monotonic()
        gap_s = now - self._last_tick_at
        self._last_tick_at = now
        expected_s = self._environment.settings.limits.heartbeat_s
        if not self._detect_pauses or gap_s <= _PAUSE_THRESHOLD_HEARTBEATS * expected_s:
            return 0
        self._environment.metrics.count('pauses_noticed')
        self._environment.log.event('pause_noticed', gap_s=gap_s)
        for host in self._last_received_at_by_host:
            self._last_received_at_by_host[host] += gap_s
        return gap_s

    def is_silent(self, host: str) -> bool:
        """Return whether a monitored host sent no message for ``suspect_after_s``."""
        last_received_at = self._last_received_at_by_host.get(host)
        if last_received_at is None:
            return False
        limit_s = self._environment.settings.limits.suspect_after_s
        return self._environment.clock.monotonic() - last_received_at > limit_s

    def silent_hosts(self) -> list[str]:
        """Return the monitored hosts that are silent."""
        return [host for host in self._last_received_at_by_host if self.is_silent(host)]

    def report_open_failure(self, host: str) -> None:
        """Suspect a silent host that does not respond on a second connection either."""
        if self.is_silent(host):
            self._members.suspect(host)
