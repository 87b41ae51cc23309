"""What a host's own requests say of a target's health."""

import math
from dataclasses import dataclass

# The weight of the newest answer: a few slow ones make a target count as slow.
_TIME_WEIGHT = 0.4
_LOSS_WEIGHT = 0.3
# A run of a new object takes about three times as long, and then the object is known there.
_SLOW = 2.2
_MOST_SLOW = 8.0
# Three lost answers in a row. With fewer, the runs of new objects elsewhere cost callers more.
_LOSSY = 0.6
# Evidence that is not renewed loses half of its weight in this time, and the target is tried again.
_SLOW_HALF_LIFE_S = 3.0
_LOSS_HALF_LIFE_S = 4.0


@dataclass(slots=True, kw_only=True)
class TargetEvidence:
    """How slow a target is, and how often it does not answer.

    :param slowness: times of runs in proportion to the usual time of their routes, 1 if usual.
    :param losses: the part of the requests that was lost or refused although there was room.
    """

    slowness: float = 1
    losses: float = 0
    noted_at: float = 0

    def note_answer(self, ratio: float | None, *, now: float) -> None:
        """Count an answer.

        :param ratio: the time of the run in proportion to the usual one, if it is known.
        """
        self._fade(now)
        self.losses -= self.losses * _LOSS_WEIGHT
        if ratio is not None:
            self.note_time(ratio, now=now)

    def note_time(self, ratio: float, *, now: float) -> None:
        """Count the time of a run, or of one that has not ended so far, as in note_answer."""
        self._fade(now)
        self.slowness += (min(ratio, _MOST_SLOW) - self.slowness) * _TIME_WEIGHT

    def note_loss(self, *, now: float) -> None:
        """Count a request that was lost, or refused although there was room."""
        self._fade(now)
        self.losses += (1 - self.losses) * _LOSS_WEIGHT

    def is_bad(self, *, now: float) -> bool:
        """Return whether an object's next target should be preferred."""
        age_s = now - self.noted_at
        slowness = 1 + (self.slowness - 1) * _left(age_s, _SLOW_HALF_LIFE_S)
        return slowness >= _SLOW or self.losses * _left(age_s, _LOSS_HALF_LIFE_S) >= _LOSSY

    def _fade(self, now: float) -> None:
        age_s = now - self.noted_at
        self.slowness = 1 + (self.slowness - 1) * _left(age_s, _SLOW_HALF_LIFE_S)
        self.losses *= _left(age_s, _LOSS_HALF_LIFE_S)
        self.noted_at = now


def _left(age_s: float, half_life_s: float) -> float:
    return math.exp2(-age_s / half_life_s)
