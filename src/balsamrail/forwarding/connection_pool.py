"""Pool of keep-alive connections to upstreams."""

import asyncio
from collections import Counter
from typing import Any

from balsamrail.configuration import Target
from balsamrail.environment import Environment
from balsamrail.exchange.response import Response
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.pool_full_error import PoolFullError
from balsamrail.forwarding.upstream_connection import UpstreamConnection
from balsamrail.forwarding.upstream_request import UpstreamRequest

# Upstreams with an idle timeout do not close a connection this soon after a response.
_FRESH_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
_PROBE_TIMEOUT_S = 0.2
_SECOND_PROBE_DELAY_S = 0.05
_SWEEP_INTERVAL_S = 1.0


class ConnectionPool:
    """Opens, reuses and limits connections per target address."""

    __slots__ = ('_count_by_address', '_environment', '_idle_by_address')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._idle_by_address: dict[str, list[UpstreamConnection]] = {}
        self._count_by_address: Counter[str] = Counter()

    async def exchange(
        self,
        *,
        target: Target,
        upstream_request: UpstreamRequest,
        deadline: float,
        fresh: bool = False,
        reused_deadline: float | None = None,
    ) -> Response:
        """Send a request over a new or idle connection and return the complete response.

        :param fresh: use a new connection or one that finished a response within the last
            second, as required for requests that are not idempotent.
        :param reused_deadline: an earlier deadline that applies to reused connections, which may
            have become unresponsive while idle.
        :raises AttemptError: if no complete response arrived by ``deadline``.
        """
        idle = None
        if not upstream_request.needs_new_connection:
            idle = self._acquire_idle(target.address, fresh=fresh)
        connection = idle or await self._open(target, deadline=deadline)
        if connection.used and reused_deadline is not None:
            deadline = min(deadline, reused_deadline)
        try:
            return await connection.exchange(upstream_request, deadline=deadline)
        except AttemptError as error:
            if error.reused and error.timed_out:
                self._discard_idle(target.address)
            raise
        finally:
            self._release(connection)

    async def refuses_connections(self, address: str) -> bool:
        """Return whether a target refuses new connections, which indicates a crash.

        Probes twice, since a terminating process may close its connections before its listener.
        """
        if await self._probe_is_refused(address):
            return True
        await asyncio.sleep(_SECOND_PROBE_DELAY_S)
        return await self._probe_is_refused(address)

    async def run(self) -> None:
        """Close expired connections once a second until cancelled."""
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Close idle connections that must not be reused."""
        for address, idle in list(self._idle_by_address.items()):
            usable = [connection for connection in idle if connection.is_usable()]
            for connection in idle:
                if connection not in usable:
                    self._discard(connection)
            self._idle_by_address[address] = usable
            if not usable:
                self._idle_by_address.pop(address)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                self._discard(connection)
        self._idle_by_address.clear()

    def dump(self) -> dict[str, Any]:
        """Return the number of open and of idle connections by address."""
        idle = {
            address: len(connections) for address, connections in self._idle_by_address.items()
        }
        return {'open': dict(self._count_by_address), 'idle': idle}

    async def _probe_is_refused(self, address: str) -> bool:
        probe = UpstreamConnection(environment=self._environment, address=address)
        deadline = self._environment.clock.monotonic() + _PROBE_TIMEOUT_S
        try:
            await probe.connect(deadline=deadline)
        except AttemptError as error:
            return not error.timed_out
        finally:
            probe.close()
        return False

    async def _open(self, target: Target, *, deadline: float) -> UpstreamConnection:
        self._ensure_capacity(target)
        self._count_by_address[target.address] += 1
        limit = min(deadline, self._environment.clock.monotonic() + _CONNECT_TIMEOUT_S)
        connection: UpstreamConnection | None = None
        try:
            connection = UpstreamConnection(
                environment=self._environment,
                address=target.address,
            )
            await connection.connect(deadline=limit)
        except BaseException as error:
            self._decrement_count(target.address)
            if isinstance(error, OSError):
                raise AttemptError(detail=f'cannot open a socket: {error}', may_have_run=False)
            raise
        return connection

    def _acquire_idle(self, address: str, *, fresh: bool) -> UpstreamConnection | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            # Last in, first out, so that surplus connections reach the idle timeout.
            if fresh and not self._is_fresh(idle[-1]):
                return None
            connection = idle.pop()
            if connection.is_usable():
                return connection
            self._discard(connection)
        return None

    def _is_fresh(self, connection: UpstreamConnection) -> bool:
        return self._environment.clock.monotonic() - connection.last_used <= _FRESH_S

    def _ensure_capacity(self, target: Target) -> None:
        if self._count_by_address[target.address] < target.connections:
            return
        idle = self._idle_by_address.get(target.address)
        if not idle:
            raise PoolFullError(
                detail='all connections to the target are in use',
                may_have_run=False,
            )
        self._discard(idle.pop(0))

    def _release(self, connection: UpstreamConnection) -> None:
        if connection.closed():
            self._decrement_count(connection.address)
        else:
            self._idle_by_address.setdefault(connection.address, []).append(connection)

    def _discard_idle(self, address: str) -> None:
        # If one connection became unresponsive, the others to the target usually did too.
        for connection in self._idle_by_address.pop(address, []):
            self._discard(connection)

    def _discard(self, connection: UpstreamConnection) -> None:
        connection.close()
        self._decrement_count(connection.address)

    def _decrement_count(self, address: str) -> None:
        self._count_by_address[address] -= 1
        if not self._count_by_address[address]:
            self._count_by_address.pop(address)
