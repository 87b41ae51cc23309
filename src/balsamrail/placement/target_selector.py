"""Selects the target of a request, or rejects the request."""

import copy
import math
from collections.abc import Sequence, Set
from itertools import islice
from typing import Any

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.object_spread import ObjectPlacement, ObjectSpread
from balsamrail.placement.passed_over import PassedOver
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.selection_preview import SelectionPreview
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_availability import REFUSAL_RAMP_S
from balsamrail.placement.target_order import TargetOrder
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_search import TargetSearch
from balsamrail.placement.target_state import TargetState

# Further targets would have no cached state of the object.
_TARGETS_PER_OBJECT = 2
# The number of targets that are considered if the preferred ones are slow or failing.
_TARGETS_PER_OBJECT_IF_UNHEALTHY = 4
# Limits on the running and queued requests of a target, divided by its slots. Above _MAX_FILL,
# responses would miss their deadlines.
_MAX_FILL = 2.0
# Each less urgent priority level lowers the limit, so that less urgent requests are rejected first.
_MAX_FILL_PRIORITY_STEP = 0.2
_MAX_FILL_LEAST_URGENT = 1.2
# A target that does not know the object accepts it only into a free slot, since such a run is slow
# and would delay the objects that the target knows.
_MAX_FILL_OTHER_TARGETS = 0.8
# Where targets get more objects than they cache, those beyond are run only in free slots, so that
# they do not delay the others or push them out of the caches when capacity is short.
_MAX_FILL_OTHER_OBJECTS = 0.7
# Slots become free within about the duration of one request.
_MIN_RETRY_AFTER_S = 0.1
# Other targets may register before a long refusal ends, so callers retry after at most this time.
_MAX_RETRY_AFTER_S = 5.0
# For a host without a share of the rate that a target takes: another host may have one.
_NO_SHARE_RETRY_AFTER_S = 1.0
_OVERLOADED = Rejection(reason='overloaded', retry_after_s=_MIN_RETRY_AFTER_S)
_WITHOUT_AFFINITY = ObjectPlacement(targets=_TARGETS_PER_OBJECT)


class TargetSelector:
    """Selects targets by object affinity and sheds load that cannot be served in time.

    A target is faster for an object that it handled recently, and caches only a limited number of
    objects, so spilling over to further targets slows all of them down. A request is therefore
    sent to one of the preferred targets of its object or rejected. Another target is used only if
    none of the preferred ones is available. Where targets get more objects than they cache, an
    object has only as many targets as its demand needs, see :class:`ObjectSpread`.

    On routes without affinity, the less loaded of two targets that the request id selects is used.

    During bursts and after the loss of targets, requests that cannot be answered in time are
    rejected at once, and known objects take precedence over unknown ones.
    """

    __slots__ = ('_object_spread', '_send_limits', 'target_registry')

    def __init__(self, *, target_registry: TargetRegistry, send_limits: SendLimits) -> None:
        self.target_registry = target_registry
        self._send_limits = send_limits
        self._object_spread = ObjectSpread()

    def select(
        self,
        route: ManifestRoute,
        *,
        service: str,
        object_key: str,
        tried: Sequence[str],
        now: float,
        prefers_own_zone: bool = False,
        passed_over: PassedOver | None = None,
        waited_s: float = 0,
        left_s: float = math.inf,
    ) -> TargetState | Rejection:
        """Return the target of a request, or its rejection.

        :param tried: the ids of the targets to which the request was sent before.
        :param prefers_own_zone: see :meth:`TargetOrder.candidates`.
        :param passed_over: collects the targets that were ruled out.
        :param waited_s: the time since the request arrived, in seconds.
        :param left_s: the time until its deadline, in seconds.
        """
        order = self.target_registry.order_of(service, allowed_regions=route.allowed_regions)
        search = TargetSearch(
            target_registry=self.target_registry,
            send_limits=self._send_limits,
            route=route,
            tried=tried,
            now=now,
            passed_over=PassedOver() if passed_over is None else passed_over,
            waited_s=waited_s,
            left_s=left_s,
        )
        placement = self._placement_of(search, order, service, object_key)
        if placement.is_dense and search.refusals() >= placement.targets:
            return _OVERLOADED
        usable = self._usable(
            order,
            object_key,
            search,
            placement,
            prefers_own_zone=prefers_own_zone and not placement.is_dense,
        )
        if not usable:
            return self._reject(order, object_key, now)
        max_fill = _max_fill(route, placement)
        for position, state in enumerate(usable):
            is_warm = position < placement.targets and placement.is_resident
            bound = max_fill if position < placement.targets else _MAX_FILL_OTHER_TARGETS
            if search.is_worthwhile(
                state, is_warm=is_warm, is_scarce=placement.is_dense
            ) and search.has_room(state, bound=bound):
                self._send_limits.record_sent(state, now=now)
                return state
        return _OVERLOADED

    def preview(
        self, route: ManifestRoute, *, service: str, object_key: str, now: float
    ) -> SelectionPreview:
        """Return what :meth:`select` would decide now for a new request, without a trace.

        Nothing is counted: neither the request, nor its object, nor its priority at targets that
        named a limit.
        """
        trial = copy.copy(self)
        trial._send_limits = self._send_limits.uncounted()
        trial._object_spread = copy.deepcopy(self._object_spread)
        passed_over = PassedOver()
        with self.target_registry.limits_kept():
            choice = trial.select(
                route,
                service=service,
                object_key=object_key,
                tried=(),
                now=now,
                passed_over=passed_over,
            )
        order = self.target_registry.order_of(service, allowed_regions=route.allowed_regions)
        candidates = order.candidates(object_key, per_region=_TARGETS_PER_OBJECT_IF_UNHEALTHY)
        states = map(self.target_registry.state_of, candidates)
        return SelectionPreview(
            choice=choice,
            passed_over=passed_over,
            candidates=tuple(state for state in states if state is not None),
        )

    def limits_of(self, state: TargetState, *, now: float) -> frozenset[ExclusionReason]:
        """Return the rate limits that apply to a target, see :meth:`confirm`."""
        return self._send_limits.applicable(state, now=now)

    def confirm(
        self,
        route: ManifestRoute,
        state: TargetState,
        *,
        counted: Set[ExclusionReason],
        now: float,
    ) -> ExclusionReason | None:
        """Return why a chosen target has been ruled out since, ``None`` if it has not been.

        Opening a connection takes time, in which the target may become unavailable.

        :param counted: the rate limits that applied when the target was chosen, against which the
            request has been counted already.
        """
        if self.target_registry.state_of(state.entry.target_id) is not state:
            return ExclusionReason.gone
        locality_exclusion = self.target_registry.locality_exclusion(
            state.entry, allowed_regions=route.allowed_regions
        )
        if locality_exclusion is not None:
            return locality_exclusion
        ruled_out = self._send_limits.exclusion_reason(
            state, priority=route.priority, now=now, counted=counted
        )
        if ruled_out is None:
            self._send_limits.record_sent(state, now=now, counted=counted)
        return ruled_out

    def dump(self, *, now: float) -> dict[str, Any]:
        """Return what is known of the objects of each service as plain data."""
        return self._object_spread.dump(now=now)

    def _reject(self, order: TargetOrder, object_key: str, now: float) -> Rejection:
        """Return the rejection of a request for which no target is available."""
        waits_s = [
            self._wait_s(state, now)
            for state in map(self.target_registry.state_of, order.fallbacks(object_key))
            if state is not None
        ]
        shortest_s = min(waits_s, default=math.inf)
        if math.isinf(shortest_s):
            return Rejection(reason='no_target', retry_after_s=_MIN_RETRY_AFTER_S)
        wait_s = min(max(shortest_s, _MIN_RETRY_AFTER_S), _MAX_RETRY_AFTER_S)
        return Rejection(
            reason='targets_refuse', retry_after_s=wait_s, spread_s=min(wait_s, REFUSAL_RAMP_S)
        )

    def _wait_s(self, state: TargetState, now: float) -> float:
        """Return when a target that refuses requests, or takes few of them, may get one.

        The result is in seconds from now, and infinite if the target is excluded otherwise.
        """
        excluded_by = state.availability.exclusion_reason(now=now)
        if excluded_by is ExclusionReason.refusing:
            return state.availability.refusing_until - now
        if excluded_by is None and state.availability.limit is not None:
            wait_s = self._send_limits.rate_limiter.wait_s(state, now=now)
            return _NO_SHARE_RETRY_AFTER_S if math.isinf(wait_s) else wait_s
        return math.inf

    def _placement_of(
        self, search: TargetSearch, order: TargetOrder, service: str, object_key: str
    ) -> ObjectPlacement:
        """Return how the object is placed, and count the request for it."""
        now, route = search.now, search.route
        if not route.is_sticky:
            return _WITHOUT_AFFINITY
        if not search.tried:
            self._object_spread.note(service, object_key, priority=route.priority, now=now)
        first = next(order.candidates(object_key, per_region=_TARGETS_PER_OBJECT), '')
        state = self.target_registry.state_of(first)
        if state is None:
            return ObjectPlacement(targets=1)
        return self._object_spread.placement_of(
            service,
            object_key,
            priority=route.priority,
            run_s=state.times.median_s(route.name) or route.aim_s / 2,
            slots=state.entry.slots,
            targets=order.targets_per_region,
            hosts=self._send_limits.fleet.near_hosts,
            now=now,
        )

    def _usable(
        self,
        order: TargetOrder,
        object_key: str,
        search: TargetSearch,
        placement: ObjectPlacement,
        *,
        prefers_own_zone: bool,
    ) -> list[TargetState]:
        """Return the targets that may get the request, in order of preference."""
        now = search.now
        count = max(_TARGETS_PER_OBJECT, min(placement.targets, _TARGETS_PER_OBJECT_IF_UNHEALTHY))
        candidates = order.candidates(
            object_key, per_region=count + len(search.tried), prefers_own_zone=prefers_own_zone
        )
        usable = list(islice(search.usable_of(candidates), count))
        if not usable:
            return list(islice(search.usable_of(order.fallbacks(object_key)), 1))
        if not search.route.is_sticky:
            # Without affinity, the less loaded target is preferred.
            return sorted(usable, key=lambda state: (state.is_bad(now=now), state.fill(now=now)))
        if placement.is_dense:
            # A run of another object at a target takes as long as one at a slow target, and makes
            # the target forget an object.
            usable = usable[: placement.targets - search.refusals()]
            return sorted(usable, key=search.completion_s) if len(usable) > 1 else usable
        healthy = [state for state in usable if not state.is_bad(now=now)]
        if not healthy:
            further = order.candidates(
                object_key,
                per_region=_TARGETS_PER_OBJECT_IF_UNHEALTHY + len(search.tried),
                prefers_own_zone=prefers_own_zone,
            )
            healthy = [
                state
                for state in search.usable_of(further)
                if not state.is_bad(now=now)
                and search.has_room(state, bound=_MAX_FILL_OTHER_TARGETS)
            ][:1]
        if placement.targets > 1:
            known = sorted(healthy[: placement.targets], key=search.completion_s)
            healthy = [*known, *healthy[placement.targets :]]
        # Slow and failing targets come last; the order is otherwise unchanged.
        return [*healthy, *(state for state in usable if state not in healthy)]


def _max_fill(route: ManifestRoute, placement: ObjectPlacement) -> float:
    """Return from which fill on the targets of an object are full for a request."""
    if not placement.is_resident:
        return _MAX_FILL_OTHER_OBJECTS
    return max(_MAX_FILL_LEAST_URGENT, _MAX_FILL - _MAX_FILL_PRIORITY_STEP * route.priority)
