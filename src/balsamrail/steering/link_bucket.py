"""The token bucket of a link."""


class LinkBucket:
    """Lets requests onto a link no faster than the held share, in kbit/s.

    The bucket holds one second's worth, and shrinks at once when share is lent.
    """

    __slots__ = ('_filled_at', '_level')

    def __init__(self, *, now: float) -> None:
        self._filled_at = now
        self._level: float | None = None

    def shortage(self, kbit: int, *, rate: int, now: float) -> int:
        """Return how many kbit are missing now, 0 if the request may go."""
        level = min(rate, rate if self._level is None else self._level_at(rate=rate, now=now))
        self._level = level
        self._filled_at = now
        # A request larger than a second's worth would never go; it may go on a full bucket.
        needed = min(kbit, rate) if rate > 0 else kbit
        return max(0, int(needed - level + 0.999))

    def take(self, kbit: int) -> None:
        """Take ``kbit``; the level may fall below zero and is then filled up first."""
        self._level = (self._level or 0) - kbit

    def _level_at(self, *, rate: int, now: float) -> float:
        return (self._level or 0) + rate * (now - self._filled_at)
