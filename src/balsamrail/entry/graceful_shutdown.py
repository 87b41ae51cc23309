"""Graceful shutdown of an entry host."""

import asyncio
from typing import Protocol

from balsamrail.environment import Environment

_POLL_INTERVAL_S = 0.05
# Some callers keep using lookup results for three times their time to live.
_LOOKUP_TTL_FACTOR = 3
_LOOKUP_MARGIN_S = 0.3
# Part of the grace period that is reserved for the last responses and the end of the process.
_END_RESERVE_S = 0.4
_LAST_RESPONSES_S = 0.1
_QUIET_S = 0.3


class Callers(Protocol):
    """The listener for callers' requests."""

    in_flight: int
    is_leaving: bool
    last_request_at: float


class Requests(Protocol):
    """The requests of callers that are sent to targets."""

    def end_requests_by(self, ends_at: float) -> None:
        """Send no more requests to targets that may end after ``ends_at``, and end all then."""

    def has_detached_requests(self) -> bool:
        """Return whether requests run that continue when their caller disconnects."""


class GracefulShutdown:
    """Drains an entry host: callers move to other hosts, and requests in flight finish.

    From its start on, lookups no longer return the host, and responses close their connections.
    Callers that hold an earlier lookup result are served until that result has expired, unless
    the time limit of their request lies behind the end of the process.

    :param lookup_ttl_s: time to live of lookup results, in seconds.
    """

    __slots__ = ('_callers', '_environment', '_lookup_ttl_s', '_requests')

    def __init__(
        self,
        *,
        environment: Environment,
        callers: Callers,
        requests: Requests,
        lookup_ttl_s: float,
    ) -> None:
        self._environment = environment
        self._callers = callers
        self._requests = requests
        self._lookup_ttl_s = lookup_ttl_s

    async def run(self) -> int:
        """Wait until the process may exit and return the number of requests still in flight."""
        clock = self._environment.clock
        started = clock.monotonic()
        served_until = started + _LOOKUP_TTL_FACTOR * self._lookup_ttl_s + _LOOKUP_MARGIN_S
        deadline = started + self._environment.settings.bounds.stop_grace_s - _END_RESERVE_S
        self._callers.is_leaving = True
        self._requests.end_requests_by(deadline)
        self._environment.log.event('stop_started', in_flight=self._callers.in_flight)
        while clock.monotonic() < deadline + _LAST_RESPONSES_S:
            now = clock.monotonic()
            is_quiet = now - self._callers.last_request_at > _QUIET_S
            may_end = now >= deadline or (now >= served_until and is_quiet)
            if may_end and not self._has_requests():
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._environment.log.event(
            'stop_drained',
            in_flight=self._callers.in_flight,
            after_s=clock.monotonic() - started,
        )
        return self._callers.in_flight

    def _has_requests(self) -> bool:
        return self._callers.in_flight > 0 or self._requests.has_detached_requests()
