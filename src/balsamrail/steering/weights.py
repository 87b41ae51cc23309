"""Effective region weights of one service."""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

from balsamrail.configuration import Cap

_EPSILON = 1e-9
# After a pause of the host, a longer interval counts as this much time, so that the weights
# continue from where they were.
_MAX_STEP_S = 1.0
# Moves are kept for at least this long, in case the window of a cap grows later. They are
# aggregated in slices of a window.
_MIN_HISTORY_S = 600
_SLICES_PER_WINDOW = 64


def normalised(weights: Mapping[str, float]) -> dict[str, float]:
    """Return the weights divided by their sum, all 0 if the sum is 0."""
    total = sum(weights.values())
    return {name: weight / total if total > 0 else 0 for name, weight in weights.items()}


def moved_fraction(before: Mapping[str, float], after: Mapping[str, float]) -> float:
    """Return the fraction of traffic that moves, which is half the L1 distance."""
    names = before.keys() | after.keys()
    return sum(abs(before.get(name, 0) - after.get(name, 0)) for name in names) / 2


@dataclass(slots=True, kw_only=True)
class _Moves:
    """Moves between two points in time, counted as if all were made at the last one."""

    first: float
    last: float
    amount: float


class Weights:
    """Moves the effective weights towards the declared ones within the caps.

    All moves of the last window are recorded, so that no window of ``per_s`` exceeds the
    fraction of the cap, however often the declaration changes. Moves away from a failed region
    count towards ``failover_cap`` and may exhaust it at once. All others count towards
    ``shift_cap`` and are spread over time.

    :param effective: the initial weights.
    :param is_from_peer: whether they come from a peer, which may just have exhausted its caps. In
        that case nothing moves within the first window.
    """

    __slots__ = ('_moves', '_stepped_at', 'effective')

    def __init__(
        self, *, effective: Mapping[str, float], now: float, is_from_peer: bool = False
    ) -> None:
        self.effective = normalised(effective)
        self._moves: deque[_Moves] = deque()
        self._stepped_at = now
        if is_from_peer:
            self._moves.append(_Moves(first=now, last=now, amount=1.0))

    def step(
        self,
        *,
        declared: Mapping[str, float],
        failed: set[str],
        shift_cap: Cap,
        failover_cap: Cap,
        now: float,
    ) -> None:
        """Move the weights as far as the caps allow at ``now``.

        :param failed: regions to move away from. If all have failed the weights do not change.
        """
        elapsed_s = min(_MAX_STEP_S, now - self._stepped_at)
        self._stepped_at = now
        keep_s = max(shift_cap.per_s, failover_cap.per_s, _MIN_HISTORY_S)
        while self._moves and self._moves[0].last < now - keep_s:
            self._moves.popleft()
        available = {name: weight for name, weight in declared.items() if name not in failed}
        goal = normalised(available)
        if not any(goal.values()):
            return
        failed_weights = {
            name: weight
            for name, weight in self.effective.items()
            if name in failed and weight > 0
        }
        if failed_weights:
            kept = {name: 0 for name in failed_weights}
            self._move(
                self._goal_after_failover(goal, kept=kept, lost=failed_weights),
                max_fraction=self._remaining(failover_cap, now=now),
                now=now,
                slice_s=failover_cap.per_s / _SLICES_PER_WINDOW,
            )
        remaining = {name: self.effective.get(name, 0) for name in failed_weights}
        steady = shift_cap.fraction * elapsed_s / shift_cap.per_s
        self._move(
            self._goal_beside(goal, kept=remaining),
            max_fraction=min(steady, self._remaining(shift_cap, now=now)),
            now=now,
            slice_s=shift_cap.per_s / _SLICES_PER_WINDOW,
        )

    def _goal_after_failover(
        self, goal: Mapping[str, float], *, kept: Mapping[str, float], lost: Mapping[str, float]
    ) -> dict[str, float]:
        moved = sum(lost.values())
        after = {**self.effective, **kept}
        for name, weight in goal.items():
            after[name] = after.get(name, 0) + weight * moved
        return after

    def _goal_beside(
        self, goal: Mapping[str, float], *, kept: Mapping[str, float]
    ) -> dict[str, float]:
        remainder = max(0, 1 - sum(kept.values()))
        return {**{name: weight * remainder for name, weight in goal.items()}, **kept}

    def _move(
        self, goal: Mapping[str, float], *, max_fraction: float, now: float, slice_s: float
    ) -> None:
        distance = moved_fraction(self.effective, goal)
        if distance <= _EPSILON or max_fraction <= _EPSILON:
            return
        part = min(1.0, max_fraction / distance)
        before = self.effective
        self.effective = {
            name: before.get(name, 0) + (goal.get(name, 0) - before.get(name, 0)) * part
            for name in before.keys() | goal.keys()
        }
        self._record_move(moved_fraction(before, self.effective), now=now, slice_s=slice_s)

    def _record_move(self, amount: float, *, now: float, slice_s: float) -> None:
        if self._moves and now - self._moves[-1].first < slice_s:
            self._moves[-1].last = now
            self._moves[-1].amount += amount
        else:
            self._moves.append(_Moves(first=now, last=now, amount=amount))

    def _remaining(self, cap: Cap, *, now: float) -> float:
        moved = sum(moves.amount for moves in self._moves if moves.last >= now - cap.per_s)
        return max(0, cap.fraction - moved - _EPSILON)
