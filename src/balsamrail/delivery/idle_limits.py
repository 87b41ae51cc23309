"""How long idle connections may be reused."""

import math
from dataclasses import dataclass

# Targets that announce no timeout close idle connections after about ten seconds.
_UNANNOUNCED_LIMIT_S = 6.0
# Targets do not close a connection this soon after a response on it, unless they drop connections.
_RECENTLY_USED_S = 1.0
# A timeout is announced in whole seconds and may have been rounded up.
_ROUNDING_S = 1.0
# Leaves time for the request to arrive before the timeout.
_TIMEOUT_FRACTION = 0.9
# A request that cannot be retried keeps a larger distance to the timeout.
_FRESH_TIMEOUT_FRACTION = 0.6
# A connection that was reset after a time may have been dropped long before.
_RESET_FRACTION = 0.3
# How long a reset counts, at the same target and at the others.
_RESET_MEMORY_S = 10.0
_POOL_RESET_MEMORY_S = 5.0


@dataclass(slots=True, kw_only=True)
class _Reset:
    """The shortest idle time after which a target reset a connection, and when it last did."""

    idle_s: float
    at: float


class IdleLimits:
    """Limits the idle time of reused connections, by what targets announce and by what they do.

    A target that drops idle connections before the announced timeout resets the next request. One
    that is not idempotent cannot be retried then, so that after the first reset the idle time is limited
    more strictly for some seconds: at this target to less than the one that failed, at the
    others to about a second for requests that are not idempotent.
    """

    __slots__ = ('_last_reset_at', '_resets_by_id')

    def __init__(self) -> None:
        self._resets_by_id: dict[str, _Reset] = {}
        self._last_reset_at = -math.inf

    def limit_s(
        self, peer_id: str, *, announced_s: float | None, fresh_only: bool, now: float
    ) -> float:
        """Return the idle time up to which a connection may be reused, in seconds.

        :param announced_s: the idle timeout that the other end announced.
        :param fresh_only: the request is not idempotent.
        """
        limit_s = self._usual_limit_s(announced_s, fresh_only, now)
        reset = self._resets_by_id.get(peer_id)
        if reset is None or not _is_remembered(reset, now):
            return limit_s
        return min(limit_s, reset.idle_s * _RESET_FRACTION)

    def note_reset(self, peer_id: str, *, idle_s: float, now: float) -> None:
        """Record that a request on a reused connection was reset without a response.

        :param idle_s: the idle time of the connection before the request.
        """
        earlier = self._resets_by_id.get(peer_id)
        shortest_s = idle_s if earlier is None else min(idle_s, earlier.idle_s)
        self._resets_by_id[peer_id] = _Reset(idle_s=shortest_s, at=now)
        self._last_reset_at = now

    def prune(self, *, now: float) -> None:
        """Discard the resets that no longer count."""
        for peer_id, reset in list(self._resets_by_id.items()):
            if not _is_remembered(reset, now):
                del self._resets_by_id[peer_id]

    def _usual_limit_s(self, announced_s: float | None, fresh_only: bool, now: float) -> float:
        if announced_s is None:
            return _RECENTLY_USED_S if fresh_only else _UNANNOUNCED_LIMIT_S
        least_s = max(0, announced_s - _ROUNDING_S)
        if not fresh_only:
            return least_s * _TIMEOUT_FRACTION
        limit_s = least_s * _FRESH_TIMEOUT_FRACTION
        is_reset_recent = now - self._last_reset_at < _POOL_RESET_MEMORY_S
        return min(limit_s, _RECENTLY_USED_S) if is_reset_recent else limit_s


def _is_remembered(reset: _Reset, now: float) -> bool:
    return now - reset.at < _RESET_MEMORY_S
