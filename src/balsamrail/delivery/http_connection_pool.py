"""A pool of idle connections to targets or to other hosts."""

from typing import Any

from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.delivery.idle_limits import IdleLimits
from balsamrail.environment import Environment
from balsamrail.errors import DeadlineExpiredError, ExchangeError

_CONNECT_TIMEOUT_S = 0.5
# An attempt that ends sooner proves nothing about the other end: a round trip between the farthest
# regions takes almost as long.
_MIN_CONNECT_S = 0.25
_TCP_USER_TIMEOUT_S = 2.0
_MAX_RESPONSE_BYTES = 33_554_432


class HttpConnectionPool:
    """Opens connections and reuses idle ones, by the id of the target or host at their other end.

    :param opened_metric: name of the counter of opened connections.
    """

    __slots__ = ('_environment', '_idle_by_id', '_idle_limits', '_opened_metric')

    def __init__(
        self, *, environment: Environment, opened_metric: str = 'target_connections_opened'
    ) -> None:
        self._environment = environment
        self._opened_metric = opened_metric
        self._idle_by_id: dict[str, list[HttpConnection]] = {}
        self._idle_limits = IdleLimits()

    async def acquire(
        self, peer_id: str, address: str, *, fresh_only: bool, deadline: float
    ) -> HttpConnection:
        """Return a connection to a target or host, an idle one if possible.

        :param fresh_only: return only a new connection or one that was used recently, since a
            request that is not idempotent cannot be retried if the target closes the connection
            meanwhile.
        :raises ExchangeError: if no connection could be opened.
        :raises DeadlineExpiredError: if there was too little time to tell whether one could be.
        """
        reusable = self._reusable(peer_id, address, fresh_only=fresh_only)
        if reusable is not None:
            return reusable
        connection = HttpConnection(
            environment=self._environment,
            address=address,
            user_timeout_s=_TCP_USER_TIMEOUT_S,
            max_response_bytes=_MAX_RESPONSE_BYTES,
        )
        started = self._environment.clock.monotonic()
        self._environment.metrics.count(self._opened_metric)
        try:
            await connection.connect(deadline=min(deadline, started + _CONNECT_TIMEOUT_S))
        except ExchangeError as error:
            if error.has_timed_out and deadline < started + _MIN_CONNECT_S:
                raise DeadlineExpiredError(
                    detail='the deadline passed while connecting', retry_after_s=0
                ) from error
            raise
        return connection

    def release(self, peer_id: str, connection: HttpConnection) -> None:
        """Return a connection to the pool unless it is closed."""
        if not connection.is_closed():
            self._idle_by_id.setdefault(peer_id, []).append(connection)

    def note_reset(self, peer_id: str, connection: HttpConnection) -> None:
        """Record that a request on a reused connection failed without any response."""
        self._environment.metrics.count('reused_connections_reset')
        now = self._environment.clock.monotonic()
        self._idle_limits.note_reset(peer_id, idle_s=connection.idle_before_s, now=now)

    def close_idle(self, peer_id: str) -> None:
        """Close the idle connections to a target or host."""
        for connection in self._idle_by_id.pop(peer_id, ()):
            connection.close()

    def close_stale(self) -> None:
        """Close the idle connections that are too old to be reused."""
        self._idle_limits.prune(now=self._environment.clock.monotonic())
        for peer_id, idle in list(self._idle_by_id.items()):
            usable = [connection for connection in idle if self._is_usable(peer_id, connection)]
            for connection in idle:
                if connection not in usable:
                    connection.close()
            if usable:
                self._idle_by_id[peer_id] = usable
            else:
                del self._idle_by_id[peer_id]

    def close(self) -> None:
        """Close all idle connections."""
        for peer_id in list(self._idle_by_id):
            self.close_idle(peer_id)

    def dump(self) -> dict[str, Any]:
        """Return the number of idle connections by target or host."""
        return {peer_id: len(idle) for peer_id, idle in self._idle_by_id.items()}

    def _reusable(self, peer_id: str, address: str, *, fresh_only: bool) -> HttpConnection | None:
        idle = self._idle_by_id.get(peer_id, [])
        while idle:
            # Last in, first out, so that surplus connections age and get closed.
            connection = idle.pop()
            # A target that restarted elsewhere may still respond at its old address.
            if connection.address != address or not self._is_usable(peer_id, connection):
                connection.close()
            elif fresh_only and not self._is_recent(peer_id, connection, fresh_only=True):
                # The other ones have been idle for longer.
                idle.append(connection)
                return None
            else:
                return connection
        return None

    def _is_usable(self, peer_id: str, connection: HttpConnection) -> bool:
        return self._is_recent(peer_id, connection, fresh_only=False) and connection.is_idle()

    def _is_recent(self, peer_id: str, connection: HttpConnection, *, fresh_only: bool) -> bool:
        limit_s = self._idle_limits.limit_s(
            peer_id,
            announced_s=connection.server_idle_timeout_s,
            fresh_only=fresh_only,
            now=self._environment.clock.monotonic(),
        )
        return connection.idle_s() < limit_s
