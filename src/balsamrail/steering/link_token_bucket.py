"""Token bucket of a link between regions."""


class LinkTokenBucket:
    """Limits the traffic on a link to the held share, in kbit/s.

    The capacity is one second of the rate. It shrinks immediately when share is lent.
    """

    __slots__ = ('_level', '_refilled_at')

    def __init__(self, *, now: float) -> None:
        self._refilled_at = now
        self._level: float | None = None

    def shortage(self, kbit: int, *, rate: int, now: float) -> int:
        """Return how many kbit are missing now, 0 if the request is allowed."""
        level = min(rate, rate if self._level is None else self._level_at(rate=rate, now=now))
        self._level = level
        self._refilled_at = now
        # A request larger than the capacity would never be allowed; a full bucket admits it.
        needed = min(kbit, rate) if rate > 0 else kbit
        return max(0, int(needed - level + 0.999))

    def acquire(self, kbit: int) -> None:
        """Remove ``kbit`` tokens; the level may become negative and is refilled first."""
        self._level = (self._level or 0) - kbit

    def _level_at(self, *, rate: int, now: float) -> float:
        return (self._level or 0) + rate * (now - self._refilled_at)
