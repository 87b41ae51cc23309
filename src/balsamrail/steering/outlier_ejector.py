"""Ejection of targets that fail."""

from dataclasses import dataclass

from balsamrail.steering.attempt_result import AttemptResult

_FAILURES = 5
_FIRST_EJECTION_S = 5.0
_LONGEST_EJECTION_S = 60.0


@dataclass(slots=True, kw_only=True)
class _Outlier:
    failures: int = 0
    ejections: int = 0
    until: float = 0
    failing_until: float = 0


class OutlierEjector:
    """Ejects the failing targets of one service in one region.

    A target is ejected after five consecutive failures or a crash, for 5 s, and twice as long
    each further time up to 60 s. An answered request clears the count. Never more than half of
    the targets are ejected, so that a fault of this host's own network can't empty a region.

    :param most: the largest fraction of the targets that may be ejected at once.
    """

    __slots__ = ('_most', '_outlier_by_address')

    def __init__(self, *, most: float = 0.5) -> None:
        self._most = most
        self._outlier_by_address: dict[str, _Outlier] = {}

    def retain(self, addresses: set[str], *, now: float) -> None:
        """Forget targets that are not in ``addresses``.

        If more than the allowed part of the rest is ejected then, those that return soonest
        return at once.
        """
        for address in self._outlier_by_address.keys() - addresses:
            self._outlier_by_address.pop(address)
        ejected = sorted(
            (outlier for outlier in self._outlier_by_address.values() if now < outlier.until),
            key=lambda outlier: outlier.until,
        )
        allowed = int(len(addresses) * self._most)
        for outlier in ejected[: max(0, len(ejected) - allowed)]:
            outlier.until = now

    def observe(self, address: str, result: AttemptResult, *, now: float, targets: int) -> bool:
        """Take an attempt into account and return whether it ejected the target.

        :param targets: how many targets the service has in the region.
        """
        outlier = self._outlier_by_address.setdefault(address, _Outlier())
        match result:
            case AttemptResult.ok:
                outlier.failures = 0
                outlier.failing_until = 0
                outlier.ejections = 0 if now >= outlier.until else outlier.ejections
                return False
            case AttemptResult.cancelled:
                return False
            case AttemptResult.crashed:
                outlier.failures = _FAILURES
            case _:
                outlier.failures += 1
        if outlier.failures < _FAILURES or now < outlier.until:
            return False
        period_s = min(_LONGEST_EJECTION_S, _FIRST_EJECTION_S * 2**outlier.ejections)
        outlier.failing_until = now + period_s
        if self.ejected_count(now=now) + 1 > targets * self._most:
            return False
        outlier.ejections += 1
        # One failure after the return ejects again, one answered request clears the count.
        outlier.failures = _FAILURES - 1
        outlier.until = now + period_s
        return True

    def ejected(self, address: str, *, now: float) -> bool:
        """Return whether the target gets no work now."""
        outlier = self._outlier_by_address.get(address)
        return outlier is not None and now < outlier.until

    def failing(self, address: str, *, now: float) -> bool:
        """Return whether the target fails, also if too many others are ejected already."""
        outlier = self._outlier_by_address.get(address)
        return outlier is not None and now < max(outlier.until, outlier.failing_until)

    def ejected_until(self, address: str) -> float:
        """Return when the last ejection of the target ends or ended."""
        outlier = self._outlier_by_address.get(address)
        return outlier.until if outlier else 0

    def ejected_count(self, *, now: float) -> int:
        """Return how many targets are ejected now."""
        outliers = self._outlier_by_address.values()
        return sum(now < outlier.until for outlier in outliers)
