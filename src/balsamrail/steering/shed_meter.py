"""When a caller that was shed should come back."""

import math

_WINDOW_S = 5.0
_LONGEST_S = 30


class ShedMeter:
    """Counts admitted and shed requests of one service over some seconds."""

    __slots__ = ('_admitted', '_shed', '_since')

    def __init__(self, *, now: float) -> None:
        self._since = now
        self._admitted: float = 0
        self._shed: float = 0

    def admit(self, *, now: float) -> None:
        """Count an admitted request."""
        self._fade(now=now)
        self._admitted += 1

    def shed(self, *, now: float) -> int:
        """Count a shed request and return the seconds after which it should come back.

        If twice as many are shed as are admitted, these need about two further seconds for each
        second of demand.
        """
        self._fade(now=now)
        self._shed += 1
        return min(_LONGEST_S, max(1, math.ceil(self._shed / max(1.0, self._admitted))))

    def _fade(self, *, now: float) -> None:
        if now - self._since >= _WINDOW_S:
            self._since = now
            self._admitted /= 2
            self._shed /= 2
