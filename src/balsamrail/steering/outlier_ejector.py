"""Outlier ejection of failing targets."""

from dataclasses import dataclass

from balsamrail.steering.attempt_result import AttemptResult

_FAILURES_TO_EJECT = 5
_MIN_EJECTION_S = 5.0
_MAX_EJECTION_S = 60.0


@dataclass(slots=True, kw_only=True)
class _Outlier:
    failures: int = 0
    ejections: int = 0
    ejection_ends_at: float = 0
    failing_until: float = 0


class OutlierEjector:
    """Ejects the failing targets of one service in one region.

    A target is ejected after five consecutive failures or a crash, first for 5 s and then for
    twice the preceding period, up to 60 s. A successful response resets the failure count. At
    most half of the targets are ejected, so that a network fault of this host cannot take a whole
    region out of service.

    :param max_ejected_fraction: the maximum fraction of the targets that is ejected at the same time.
    """

    __slots__ = ('_max_ejected_fraction', '_outlier_by_address')

    def __init__(self, *, max_ejected_fraction: float = 0.5) -> None:
        self._max_ejected_fraction = max_ejected_fraction
        self._outlier_by_address: dict[str, _Outlier] = {}

    def retain(self, addresses: set[str], *, now: float) -> None:
        """Drop the state of targets that are not in ``addresses``.

        If more than the allowed fraction of the remaining targets is ejected, the ejections that
        expire first end immediately.
        """
        for address in self._outlier_by_address.keys() - addresses:
            self._outlier_by_address.pop(address)
        ejected = sorted(
            (
                outlier
                for outlier in self._outlier_by_address.values()
                if now < outlier.ejection_ends_at
            ),
            key=lambda outlier: outlier.ejection_ends_at,
        )
        allowed = int(len(addresses) * self._max_ejected_fraction)
        for outlier in ejected[: max(0, len(ejected) - allowed)]:
            outlier.ejection_ends_at = now

    def observe(self, address: str, result: AttemptResult, *, now: float, targets: int) -> bool:
        """Record the result of an attempt and return whether it ejected the target.

        :param targets: the number of targets of the service in the region.
        """
        outlier = self._outlier_by_address.setdefault(address, _Outlier())
        match result:
            case AttemptResult.ok:
                outlier.failures = 0
                outlier.failing_until = 0
                outlier.ejections = 0 if now >= outlier.ejection_ends_at else outlier.ejections
                return False
            case AttemptResult.cancelled:
                return False
            case AttemptResult.crashed:
                outlier.failures = _FAILURES_TO_EJECT
            case _:
                outlier.failures += 1
        if outlier.failures < _FAILURES_TO_EJECT or now < outlier.ejection_ends_at:
            return False
        period_s = min(_MAX_EJECTION_S, _MIN_EJECTION_S * 2**outlier.ejections)
        outlier.failing_until = now + period_s
        if self.ejected_count(now=now) + 1 > targets * self._max_ejected_fraction:
            return False
        outlier.ejections += 1
        # After the period, one failure ejects again and one successful response resets the count.
        outlier.failures = _FAILURES_TO_EJECT - 1
        outlier.ejection_ends_at = now + period_s
        return True

    def ejected(self, address: str, *, now: float) -> bool:
        """Return whether the target is ejected now."""
        outlier = self._outlier_by_address.get(address)
        return outlier is not None and now < outlier.ejection_ends_at

    def failing(self, address: str, *, now: float) -> bool:
        """Return whether the target fails, even if it is not ejected because of the limit."""
        outlier = self._outlier_by_address.get(address)
        return outlier is not None and now < max(outlier.ejection_ends_at, outlier.failing_until)

    def ejected_until(self, address: str) -> float:
        """Return the time at which the latest ejection of the target ends."""
        outlier = self._outlier_by_address.get(address)
        return outlier.ejection_ends_at if outlier else 0

    def ejected_count(self, *, now: float) -> int:
        """Return the number of targets that are ejected now."""
        outliers = self._outlier_by_address.values()
        return sum(now < outlier.ejection_ends_at for outlier in outliers)
