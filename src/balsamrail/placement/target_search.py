"""Search for a usable target for one request."""

import math
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.placement.completion_estimate import CompletionEstimate
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.passed_over import PassedOver
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState


@dataclass(slots=True, kw_only=True)
class TargetSearch:
    """Skips the targets that are ruled out and records the reasons.

    :param route: the route of the request.
    :param tried: the ids of the targets to which the request was sent before.
    :param passed_over: collects the targets that were ruled out.
    :param waited_s: the time since the request arrived, in seconds.
    :param left_s: the time until its deadline, in seconds.
    """

    target_registry: TargetRegistry
    send_limits: SendLimits
    route: ManifestRoute
    tried: Sequence[str]
    now: float
    passed_over: PassedOver = field(default_factory=PassedOver)
    waited_s: float = 0
    left_s: float = math.inf

    def usable_of(self, target_ids: Iterable[str]) -> Iterator[TargetState]:
        """Yield the targets that are available, irrespective of their load."""
        for target_id in target_ids:
            state = self.target_registry.state_of(target_id)
            if state is None or target_id in self.tried:
                continue
            ruled_out = self.send_limits.exclusion_reason(
                state, priority=self.route.priority, now=self.now
            )
            if ruled_out is None:
                yield state
            else:
                self.passed_over.note(target_id, ruled_out)

    def refusals(self) -> int:
        """Return how many targets that were tried are available, but full."""
        tried = (self.target_registry.state_of(target_id) for target_id in self.tried)
        return sum(
            state.fill(now=self.now) >= 1
            and state.availability.exclusion_reason(now=self.now) is None
            for state in tried
            if state is not None
        )

    def is_worthwhile(self, state: TargetState, *, is_warm: bool, is_scarce: bool) -> bool:
        """Return whether the target is expected to answer the request soon enough.

        :param is_warm: whether the target is expected to know the object.
        :param is_scarce: whether a request that would miss its latency objective may not wait.
        """
        estimate = CompletionEstimate.of(state, self.route.name, is_warm=is_warm, now=self.now)
        if estimate is None:
            return True
        is_worthwhile = estimate.is_worthwhile(
            priority=self.route.priority,
            aim_left_s=self.route.aim_s - self.waited_s if is_scarce else math.inf,
            left_s=self.left_s,
        )
        if not is_worthwhile:
            self.passed_over.note(state.entry.target_id, ExclusionReason.late)
        return is_worthwhile

    def completion_s(self, state: TargetState) -> float:
        """Return when a target that knows the object is expected to answer, in seconds.

        The result is 0 for all targets as long as no run times are known.
        """
        estimate = CompletionEstimate.of(state, self.route.name, is_warm=True, now=self.now)
        return 0 if estimate is None else estimate.completion_s

    def has_room(self, state: TargetState, *, bound: float) -> bool:
        """Return whether an available target has the capacity for the request.

        :param bound: the fill from which on the target is full.
        """
        is_full = state.is_full(bound=bound, now=self.now)
        if is_full:
            self.passed_over.note(state.entry.target_id, ExclusionReason.full)
        return not is_full
