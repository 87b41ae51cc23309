"""Limits on the rate at which a host sends requests to single targets."""

import copy
from collections.abc import Set

from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.target_rate_limiter import TargetRateLimiter
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState
from balsamrail.placement.warmup_limiter import WarmupLimiter

_NOT_COUNTED: Set[ExclusionReason] = frozenset()


class SendLimits:
    """Applies the limits of cold targets and those that targets name; the stricter one holds.

    Every component that sends a request to a target asks here first, and counts what it sends::

        if send_limits.exclusion_reason(state, priority=0, now=now) is None:
            send_limits.record_sent(state, now=now)

    :param fleet: the hosts that share the limits.
    """

    __slots__ = ('_is_counting', '_target_registry', '_warmup_limiter', 'fleet', 'rate_limiter')

    def __init__(self, *, fleet: FleetHosts, target_registry: TargetRegistry) -> None:
        self._is_counting = True
        self.fleet = fleet
        self._target_registry = target_registry
        self._warmup_limiter = WarmupLimiter(fleet=fleet)
        self.rate_limiter = TargetRateLimiter(fleet=fleet)

    def uncounted(self) -> 'SendLimits':
        """Return the same limits, against which nothing is counted."""
        limits = copy.copy(self)
        limits._is_counting = False
        return limits

    def applicable(self, state: TargetState, *, now: float) -> frozenset[ExclusionReason]:
        """Return the limits that apply to a target, for the parameter ``counted``."""
        reasons = set()
        if state.is_cold(now=now):
            reasons.add(ExclusionReason.cold)
        if state.availability.limit is not None:
            reasons.add(ExclusionReason.limited)
        return frozenset(reasons)

    def exclusion_reason(
        self,
        state: TargetState,
        *,
        priority: int,
        now: float,
        counted: Set[ExclusionReason] = _NOT_COUNTED,
    ) -> ExclusionReason | None:
        """Return why a target may not get a request of this host now, ``None`` if it may.

        :param priority: the priority of the request; 0 is the highest.
        :param counted: the limits against which the request has been counted already.
        """
        is_cold_allowed = (
            ExclusionReason.cold in counted
            or not state.is_cold(now=now)
            or self._warmup_limiter.allows(
                state.entry.target_id,
                per_s=self._target_registry.cold_rate_of(state.entry.service),
                now=now,
            )
        )
        is_rate_allowed = ExclusionReason.limited in counted or self.rate_limiter.allows(
            state, priority=priority, now=now
        )
        return state.availability.exclusion_reason(
            now=now, is_cold_allowed=is_cold_allowed, is_rate_allowed=is_rate_allowed
        )

    def record_sent(
        self, state: TargetState, *, now: float, counted: Set[ExclusionReason] = _NOT_COUNTED
    ) -> None:
        """Count a request against the limits of its target that have not counted it yet."""
        if not self._is_counting:
            return
        new = self.applicable(state, now=now) - counted
        if ExclusionReason.cold in new:
            self._warmup_limiter.record_sent(state.entry.target_id, now=now)
        if ExclusionReason.limited in new:
            self.rate_limiter.record_sent(state, now=now)
