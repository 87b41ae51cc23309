"""Passive health checking: the health of a target as seen from the requests of a host."""

import math
from dataclasses import dataclass

# Weights of the newest sample in the moving averages: a few slow responses mark a target as slow.
_SLOWNESS_WEIGHT = 0.4
_LOSS_WEIGHT = 0.3
# Moving an object to another target costs one run of about three times the usual time, after which
# the object is known there.
_SLOWNESS_THRESHOLD = 2.2
_MAX_RATIO = 8.0
# Reached by three lost responses in a row. With fewer, the runs of objects that are new to another
# target would cost callers more.
_LOSS_RATE_THRESHOLD = 0.6
# The averages decay with these half-lives, so that the target is eventually tried again.
_SLOW_HALF_LIFE_S = 3.0
_LOSS_HALF_LIFE_S = 4.0


@dataclass(slots=True, kw_only=True)
class TargetHealth:
    """Decaying averages of the slowness and the loss rate of a target.

    :param slowness: the run time relative to the median of the route, 1 if usual.
    :param loss_rate: the fraction of requests that were lost, or refused in spite of free slots.
    :param updated_at: the time of the last sample, in seconds of the event loop.
    """

    slowness: float = 1
    loss_rate: float = 0
    updated_at: float = 0

    def note_answer(self, ratio: float | None, *, now: float) -> None:
        """Record a response.

        :param ratio: the run time relative to the median, if it is known.
        """
        self._decay(now)
        self.loss_rate -= self.loss_rate * _LOSS_WEIGHT
        if ratio is not None:
            self.note_duration(ratio, now=now)

    def note_duration(self, ratio: float, *, now: float) -> None:
        """Record the run time, or the time so far of an unfinished run, as in note_answer."""
        self._decay(now)
        self.slowness += (min(ratio, _MAX_RATIO) - self.slowness) * _SLOWNESS_WEIGHT

    def note_loss(self, *, now: float) -> None:
        """Record a request that was lost, or refused in spite of free slots."""
        self._decay(now)
        self.loss_rate += (1 - self.loss_rate) * _LOSS_WEIGHT

    def is_bad(self, *, now: float) -> bool:
        """Return whether the target is slow or failing, so that other targets are preferred."""
        age_s = now - self.updated_at
        slowness = 1 + (self.slowness - 1) * _decay_factor(age_s, _SLOW_HALF_LIFE_S)
        return (
            slowness >= _SLOWNESS_THRESHOLD
            or self.loss_rate * _decay_factor(age_s, _LOSS_HALF_LIFE_S) >= _LOSS_RATE_THRESHOLD
        )

    def _decay(self, now: float) -> None:
        age_s = now - self.updated_at
        self.slowness = 1 + (self.slowness - 1) * _decay_factor(age_s, _SLOW_HALF_LIFE_S)
        self.loss_rate *= _decay_factor(age_s, _LOSS_HALF_LIFE_S)
        self.updated_at = now


def _decay_factor(age_s: float, half_life_s: float) -> float:
    return math.exp2(-age_s / half_life_s)
