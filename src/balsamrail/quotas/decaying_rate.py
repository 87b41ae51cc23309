"""A rate of events in which recent ones count most."""

import math

_DECAY_S = 2.0


class DecayingRate:
    """Events per second, with weights that decay exponentially."""

    __slots__ = ('_updated_at', 'per_s')

    def __init__(self, *, now: float) -> None:
        self.per_s: float = 0
        self._updated_at = now

    def add(self, count: int, *, now: float) -> None:
        """Count events."""
        decay = math.exp((self._updated_at - now) / _DECAY_S)
        self.per_s = self.per_s * decay + count / _DECAY_S
        self._updated_at = now
