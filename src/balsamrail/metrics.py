"""Counters and latency histograms of one process."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from balsamrail.gauge import Gauge

_MIN_DURATION_US = 1
_MAX_DURATION_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50, 90, 99, 99.9)
_US_IN_S = 1_000_000
_PREFIX = 'balsamrail_'


class Metrics:
    """Counts events and records durations.

    A histogram is created on first use, since even an empty one takes tens of kilobytes::

        metrics.count('requests_shed')
        metrics.record('forward', 0.0123)
    """

    __slots__ = ('_counter_by_name', '_histogram_by_name')

    def __init__(self) -> None:
        self._counter_by_name: Counter[str] = Counter()
        self._histogram_by_name: dict[str, Any] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._counter_by_name[name] += amount

    def record(self, name: str, duration_s: float) -> None:
        """Record a duration in seconds, with microsecond resolution and two significant digits."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(_MIN_DURATION_US, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
            self._histogram_by_name[name] = histogram
        histogram.record_value(max(_MIN_DURATION_US, int(duration_s * _US_IN_S)))

    def counter(self, name: str) -> int:
        """Return the value of a counter, 0 if it was never incremented."""
        return self._counter_by_name[name]

    def dump(self) -> dict[str, Any]:
        """Return counters and percentiles (in microseconds) as JSON-compatible data."""
        return {
            'counters': dict(sorted(self._counter_by_name.items())),
            'histograms_us': {
                name: _summary(histogram)
                for name, histogram in sorted(self._histogram_by_name.items())
            },
        }

    def page(self, gauges: Iterable[Gauge] = ()) -> str:
        """Return the metrics in the Prometheus text format, version 0.0.4.

        :param gauges: values that are measured when the page is requested.
        """
        lines: list[str] = []
        for name, value in sorted(self._counter_by_name.items()):
            lines.extend(_metric_family(f'{_PREFIX}{name}_total', 'counter', {'': value}))
        for name, histogram in sorted(self._histogram_by_name.items()):
            lines.extend(
                _metric_family(f'{_PREFIX}{name}_seconds', 'summary', _quantiles(histogram))
            )
        for gauge in gauges:
            lines.extend(_metric_family(f'{_PREFIX}{gauge.name}', 'gauge', gauge.samples()))
        return '\n'.join(lines) + '\n'


def _metric_family(name: str, kind: str, value_by_suffix: Mapping[str, float]) -> list[str]:
    samples = (f'{name}{suffix} {value:.12g}' for suffix, value in value_by_suffix.items())
    return [f'# TYPE {name} {kind}', *samples]


def _quantiles(histogram: Any) -> dict[str, float]:
    samples = {
        f'{{quantile="{percentile / 100:g}"}}': histogram.get_value_at_percentile(percentile)
        / _US_IN_S
        for percentile in _PERCENTILES
    }
    count = histogram.get_total_count()
    return {**samples, '_sum': histogram.get_mean_value() * count / _US_IN_S, '_count': count}


def _summary(histogram: Any) -> dict[str, int]:
    summary = {'count': histogram.get_total_count(), 'max': histogram.get_max_value()}
    for percentile in _PERCENTILES:
        summary[f'p{percentile}'] = histogram.get_value_at_percentile(percentile)
    return summary
