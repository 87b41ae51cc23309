"""Counts and logs the callers that are cut off at a limit of the host."""

from collections import Counter

from balsamrail.clock import Clock
from balsamrail.logs import Log
from balsamrail.metrics import Metrics

# Thousands of callers may be cut off in a second.
_LOG_INTERVAL_S = 10


class CallerRefusals:
    """Counts each caller that is cut off, and logs the numbers at intervals.

    The log line ``callers_cut_off`` has the numbers since the previous one, by cause.
    """

    __slots__ = ('_clock', '_log', '_logged_at', '_metrics', '_unlogged')

    def __init__(self, *, clock: Clock, log: Log, metrics: Metrics) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._unlogged = Counter[str]()
        self._logged_at: float | None = None

    def note(self, cause: str) -> None:
        """Count a caller that is cut off.

        :param cause: the limit that it met, as in the name of the metric.
        """
        self._metrics.count(f'callers_cut_off_{cause}')
        self._unlogged[cause] += 1
        self.log_due()

    def log_due(self) -> None:
        """Log what has not been logged, unless the previous line is too recent."""
        now = self._clock.monotonic()
        is_recent = self._logged_at is not None and now - self._logged_at < _LOG_INTERVAL_S
        if self._unlogged and not is_recent:
            self._logged_at = now
            self._log.event('callers_cut_off', **self._unlogged)
            self._unlogged.clear()
