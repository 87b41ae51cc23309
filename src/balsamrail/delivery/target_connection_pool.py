"""A pool of idle connections to targets."""

from collections import Counter
from typing import Any

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.environment import Environment

_CONNECT_TIMEOUT_S = 0.5
_TCP_USER_TIMEOUT_S = 2.0
_MAX_RESPONSE_BYTES = 33_554_432
# Targets close idle connections after about ten seconds unless they announce another timeout.
_MAX_IDLE_S = 6.0
# Connections are reused only within this fraction of the idle timeout that a target announced.
_IDLE_TIMEOUT_FRACTION = 0.6
# Targets do not close a connection this soon after a response on it.
_RECENTLY_USED_S = 1.0


class TargetConnectionPool:
    """Opens connections to targets and reuses idle ones."""

    __slots__ = ('_environment', '_idle_by_id', '_open_by_id')

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._idle_by_id: dict[str, list[HttpConnection]] = {}
        self._open_by_id: Counter[str] = Counter()

    async def acquire(
        self, entry: TargetEntry, *, fresh_only: bool, deadline: float
    ) -> HttpConnection:
        """Return a connection to a target, an idle one if possible.

        :param fresh_only: return only a new connection or one used within the last second, since
            a request that is not idempotent cannot be retried if the target closes the connection
            meanwhile.
        :raises ExchangeError: if no connection could be opened.
        """
        reusable = self._reusable(entry, fresh_only=fresh_only)
        if reusable is not None:
            return reusable
        connection = HttpConnection(
            environment=self._environment,
            address=entry.address,
            user_timeout_s=_TCP_USER_TIMEOUT_S,
            max_response_bytes=_MAX_RESPONSE_BYTES,
        )
        limit = min(deadline, self._environment.clock.monotonic() + _CONNECT_TIMEOUT_S)
        self._environment.metrics.count('target_connections_opened')
        await connection.connect(deadline=limit)
        return connection

    def release(self, entry: TargetEntry, connection: HttpConnection) -> None:
        """Return a connection to the pool unless it is closed."""
        if not connection.is_closed():
            self._idle_by_id.setdefault(entry.target_id, []).append(connection)

    def close_target(self, target_id: str) -> None:
        """Close the idle connections to a target."""
        for connection in self._idle_by_id.pop(target_id, ()):
            connection.close()

    def close_stale(self) -> None:
        """Close the idle connections that are too old to be reused."""
        for target_id, idle in list(self._idle_by_id.items()):
            usable = [connection for connection in idle if _is_usable(connection)]
            for connection in idle:
                if connection not in usable:
                    connection.close()
            if usable:
                self._idle_by_id[target_id] = usable
            else:
                del self._idle_by_id[target_id]

    def close(self) -> None:
        """Close all idle connections."""
        for target_id in list(self._idle_by_id):
            self.close_target(target_id)

    def dump(self) -> dict[str, Any]:
        """Return the number of idle connections by target."""
        return {target_id: len(idle) for target_id, idle in self._idle_by_id.items()}

    def _reusable(self, entry: TargetEntry, *, fresh_only: bool) -> HttpConnection | None:
        idle = self._idle_by_id.get(entry.target_id, [])
        while idle:
            # Last in, first out, so that surplus connections age and get closed.
            if fresh_only and idle[-1].idle_s() > _RECENTLY_USED_S:
                return None
            connection = idle.pop()
            # A target that restarted elsewhere may still respond at its old address.
            if connection.address == entry.address and _is_usable(connection):
                return connection
            connection.close()
        return None


def _is_usable(connection: HttpConnection) -> bool:
    limit_s = _MAX_IDLE_S
    if connection.server_idle_timeout_s is not None:
        limit_s = min(limit_s, connection.server_idle_timeout_s * _IDLE_TIMEOUT_FRACTION)
    return connection.idle_s() < limit_s and connection.is_idle()
