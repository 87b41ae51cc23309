"""The planned stop of an entry host."""

import asyncio
from typing import Protocol

from balsamrail.environment import Environment

_POLL_INTERVAL_S = 0.05
# Some callers keep a look-up three times as long as it says.
_LOOKUP_TTL_FACTOR = 3
_LOOKUP_MARGIN_S = 0.3
# What is left of the grace for closing and for the end of the process.
_CLOSE_RESERVE_S = 0.4
_IDLE_PERIOD_S = 0.3


class CallerListener(Protocol):
    """The callers' listener."""

    in_flight: int
    is_leaving: bool
    last_request_at: float


class GracefulShutdown:
    """Lets callers go elsewhere and ends when no request is left.

    From the start on no look-up names the host and answers close their connections. Callers that
    hold an older look-up are served until it has run out.

    :param lookup_ttl_s: for how long a look-up says that it may be kept.
    """

    __slots__ = ('_callers', '_environment', '_lookup_ttl_s')

    def __init__(
        self, *, environment: Environment, callers: CallerListener, lookup_ttl_s: float
    ) -> None:
        self._environment = environment
        self._callers = callers
        self._lookup_ttl_s = lookup_ttl_s

    async def run(self) -> int:
        """Wait until the process may end and return how many requests are still unfinished."""
        clock = self._environment.clock
        started = clock.monotonic()
        served_until = started + _LOOKUP_TTL_FACTOR * self._lookup_ttl_s + _LOOKUP_MARGIN_S
        deadline = started + self._environment.settings.bounds.stop_grace_s - _CLOSE_RESERVE_S
        self._callers.is_leaving = True
        self._environment.log.event('stop_started', in_flight=self._callers.in_flight)
        while clock.monotonic() < deadline:
            now = clock.monotonic()
            is_idle = now - self._callers.last_request_at > _IDLE_PERIOD_S
            if now >= served_until and is_idle and not self._callers.in_flight:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        self._environment.log.event(
            'stop_drained',
            in_flight=self._callers.in_flight,
            after_s=clock.monotonic() - started,
        )
        return self._callers.in_flight
