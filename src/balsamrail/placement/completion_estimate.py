"""When a request would be answered by a target, and whether that is soon enough."""

from dataclasses import dataclass

from balsamrail.placement.target_state import TargetState

# A run of an object that the target does not know takes about this many times as long.
_COLD_RUN_FACTOR = 3.3
# The part of the latency objective that the wait for a slot and the run may take. Load reports
# lag, so that a wait is often longer than expected.
_OBJECTIVE_FRACTION = 0.9
# The less urgent, the smaller is the part that the wait may take.
_OBJECTIVE_PRIORITY_STEP = 0.1
_MIN_OBJECTIVE_FRACTION = 0.6


@dataclass(slots=True, kw_only=True, frozen=True)
class CompletionEstimate:
    """The expected time that a target takes for a request.

    :param wait_s: the time until a slot is free, in seconds.
    :param run_s: the time of the run in seconds.
    :param slowdown: how long work takes at the target now, relative to its usual time.
    """

    wait_s: float
    run_s: float
    slowdown: float

    @classmethod
    def of(
        cls, state: TargetState, route: str, *, is_warm: bool, now: float
    ) -> 'CompletionEstimate | None':
        """Return the estimate for a request of a route, ``None`` if no run times are known.

        :param is_warm: whether the target is expected to know the object.
        """
        warm_s = state.times.median_s(route)
        if warm_s is None:
            return None
        slowdown = state.slowdown(now=now)
        queued = max(0, state.load(now=now) + 1 - state.entry.slots)
        mean_s = state.times.mean_s(route) or warm_s
        return cls(
            slowdown=slowdown,
            wait_s=queued * mean_s * slowdown / state.entry.slots,
            run_s=warm_s * slowdown * (1 if is_warm else _COLD_RUN_FACTOR),
        )

    @property
    def completion_s(self) -> float:
        """The expected time until the response, in seconds."""
        return self.wait_s + self.run_s

    def is_worthwhile(self, *, priority: int, aim_left_s: float, left_s: float) -> bool:
        """Return whether the target should get the request.

        A request that cannot meet its objective delays those that can if it has to wait for a
        slot, and one that cannot be answered in time is run for nothing. A target with a free slot
        that is not slow gets any request: if runs have become longer than requests may take, no
        other request would show that they are as usual again.

        :param priority: the priority of the request; 0 is the highest.
        :param aim_left_s: the time until the latency objective, in seconds.
        :param left_s: the time until the deadline, in seconds.
        """
        is_held_up = self.wait_s > 0 or self.slowdown > 1
        if is_held_up and self.completion_s > left_s:
            return False
        fraction = max(
            _MIN_OBJECTIVE_FRACTION, _OBJECTIVE_FRACTION - _OBJECTIVE_PRIORITY_STEP * priority
        )
        return not self.wait_s or self.completion_s <= aim_left_s * fraction
