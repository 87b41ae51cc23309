"""Search for a usable target for one request."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.passed_over import PassedOver
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState


@dataclass(slots=True, kw_only=True)
class TargetSearch:
    """Skips the targets that are ruled out and records the reasons.

    :param allows_cold: returns whether the rate limit lets this host send a request to a cold
        target.
    :param tried: the ids of the targets to which the request was sent before.
    :param passed_over: collects the targets that were ruled out.
    """

    target_registry: TargetRegistry
    allows_cold: Callable[[TargetState, float], bool]
    tried: Sequence[str]
    now: float
    passed_over: PassedOver = field(default_factory=PassedOver)

    def usable_of(self, target_ids: Iterable[str]) -> Iterator[TargetState]:
        """Yield the targets that are available, irrespective of their load."""
        for target_id in target_ids:
            state = self.target_registry.state_of(target_id)
            if state is None or target_id in self.tried:
                continue
            ruled_out = self._exclusion_reason(state)
            if ruled_out is None:
                yield state
            else:
                self.passed_over.note(target_id, ruled_out)

    def has_room(self, state: TargetState, *, bound: float) -> bool:
        """Return whether an available target has the capacity for the request.

        :param bound: the fill from which on the target is full.
        """
        is_full = state.is_full(bound=bound, now=self.now)
        if is_full:
            self.passed_over.note(state.entry.target_id, ExclusionReason.full)
        return not is_full

    def _exclusion_reason(self, state: TargetState) -> ExclusionReason | None:
        is_cold_allowed = not state.is_cold(now=self.now) or self.allows_cold(state, self.now)
        return state.availability.exclusion_reason(now=self.now, is_cold_allowed=is_cold_allowed)
