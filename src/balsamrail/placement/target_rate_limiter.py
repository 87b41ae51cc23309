"""Rate limit for targets that name how many requests they take."""

import math

from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.rendezvous_hashing import hash_text, mix_hashes
from balsamrail.placement.target_limit import TargetLimit
from balsamrail.placement.target_share import TargetShare
from balsamrail.placement.target_state import TargetState

# How long a host without a share may use the time at which it asks a target for its limit.
_ASKING_TIME_S = 2.0
# For how long a request reserves capacity for others of its priority.
_URGENT_TTL_S = 5.0
# The part of the interval between two tokens in which only the most urgent requests get a single one.
_RESERVED_FRACTION = 0.5
_HASH_RANGE = float(1 << 64)
_MAX_CACHED_SHARES = 4_096


class TargetRateLimiter:
    """Keeps the requests of this host to its share of the rates that targets named.

    A host with a share has a token bucket for each target. A host without one hears no responses
    of the target, and so never that the limit has changed or ended, unless another host tells it.
    It may therefore send a single request at long intervals.

    :param fleet: the hosts that share the limits.
    """

    __slots__ = ('_fleet', '_generation', '_own_hash', '_shares_by_target')

    def __init__(self, *, fleet: FleetHosts) -> None:
        self._fleet = fleet
        self._own_hash = hash_text(fleet.own_host)
        self._generation = fleet.generation
        self._shares_by_target: dict[tuple[str, float], TargetShare] = {}

    def allows(self, state: TargetState, *, priority: int, now: float) -> bool:
        """Return whether this host may send a request to a target now.

        While more urgent requests come, less urgent ones leave a token to them, or the first half
        of the interval between two tokens if there is only one.

        :param priority: the priority of the request; 0 is the highest.
        """
        limit = state.availability.limit
        if limit is None:
            return True
        share = self._share_of(state, limit)
        if not share.capacity:
            return self._may_ask(state, limit, share, now)
        _refill(limit, share, now)
        _note_priority(limit, priority, now)
        is_less_urgent = limit.most_urgent is not None and priority > limit.most_urgent
        if is_less_urgent and share.capacity == 1:
            full_since = math.inf if limit.full_since is None else limit.full_since
            return now - full_since >= _RESERVED_FRACTION / share.per_s
        return limit.tokens >= (2 if is_less_urgent else 1)

    def record_sent(self, state: TargetState, *, now: float) -> None:
        """Count a request to a target."""
        limit = state.availability.limit
        if limit is not None:
            limit.tokens = max(0, limit.tokens - 1)
            limit.full_since = None
            limit.sent_at = now

    def wait_s(self, state: TargetState, *, now: float) -> float:
        """Return the time in seconds until this host may send a request to a target.

        The result is infinite if it has no share.
        """
        limit = state.availability.limit
        if limit is None:
            return 0
        share = self._share_of(state, limit)
        if not share.capacity:
            return math.inf
        _refill(limit, share, now)
        return max(0, 1 - limit.tokens) / share.per_s

    def _share_of(self, state: TargetState, limit: TargetLimit) -> TargetShare:
        if self._generation != self._fleet.generation:
            self._generation = self._fleet.generation
            self._shares_by_target.clear()
        key = (state.entry.target_id, limit.per_s)
        share = self._shares_by_target.get(key)
        if share is None:
            if len(self._shares_by_target) >= _MAX_CACHED_SHARES:
                self._shares_by_target.clear()
            share = TargetShare.of(
                self._fleet,
                target_id=state.entry.target_id,
                region=state.entry.region,
                limit_per_s=limit.per_s,
            )
            self._shares_by_target[key] = share
        return share

    def _may_ask(
        self, state: TargetState, limit: TargetLimit, share: TargetShare, now: float
    ) -> bool:
        interval_s = 1 / share.per_s
        phase = mix_hashes(self._own_hash, hash_text(state.entry.target_id)) / _HASH_RANGE
        since_turn_s = (now - limit.since + phase * interval_s) % interval_s
        last_contact_at = max(limit.since, limit.named_at, limit.sent_at)
        return since_turn_s < _ASKING_TIME_S and last_contact_at < now - since_turn_s


def _refill(limit: TargetLimit, share: TargetShare, now: float) -> None:
    level = limit.tokens + max(0, now - limit.refilled_at) * share.per_s
    if level >= share.capacity and limit.full_since is None:
        limit.full_since = now - (level - share.capacity) / share.per_s
    limit.tokens = min(share.capacity, level)
    limit.refilled_at = now


def _note_priority(limit: TargetLimit, priority: int, now: float) -> None:
    is_expired = now - limit.most_urgent_at >= _URGENT_TTL_S
    if limit.most_urgent is None or priority <= limit.most_urgent or is_expired:
        limit.most_urgent = priority
        limit.most_urgent_at = now
