"""Request counters of one arm of a trial."""

from dataclasses import dataclass

_US_PER_S = 1_000_000


@dataclass(slots=True, kw_only=True)
class TrialArm:
    """The number of requests, the number that failed, and the sum of latencies in microseconds."""

    requests: int = 0
    errors: int = 0
    latency_us: int = 0

    @property
    def error_ratio(self) -> float:
        """The fraction of requests that failed, 0 without requests."""
        return self.errors / self.requests if self.requests else 0

    @property
    def mean_latency_s(self) -> float:
        """The mean latency in seconds, 0 without requests."""
        return self.latency_us / self.requests / _US_PER_S if self.requests else 0

    def observe(self, *, failed: bool, latency_s: float) -> None:
        """Count one request."""
        self.requests += 1
        self.errors += int(failed)
        self.latency_us += max(0, int(latency_s * _US_PER_S))

    def add(self, counters: list[int]) -> None:
        """Add the counters of another host."""
        requests, errors, latency_us = counters
        self.requests += requests
        self.errors += errors
        self.latency_us += latency_us

    def counters(self) -> list[int]:
        """Return the counters in the order used in messages."""
        return [self.requests, self.errors, self.latency_us]
