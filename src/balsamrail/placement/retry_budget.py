"""Retry budget of a service."""

from collections import deque
from collections.abc import Callable


class RetryBudget:
    """Allows retries in proportion to the requests in a sliding window.

    Each host applies the ratio to its own requests and gets its share of the slack, so all hosts
    together stay within both limits without coordination.

    :param ratio: the number of retries per request.
    :param slack: returns the number of retries that are allowed in a window beyond the ratio.
    :param window_s: the length of the window in seconds.
    """

    __slots__ = ('_ratio', '_requests', '_retries', '_slack', '_window_s')

    def __init__(self, *, ratio: float, slack: Callable[[], float], window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, *, now: float) -> None:
        """Count a request from a caller."""
        self._requests.append(now)
        _expire(self._requests, now - self._window_s)

    def remaining(self, *, now: float) -> float:
        """Return how many retries are allowed now."""
        _expire(self._requests, now - self._window_s)
        _expire(self._retries, now - self._window_s)
        return self._ratio * len(self._requests) + self._slack() - len(self._retries)

    def try_acquire(self, *, now: float) -> bool:
        """Count a retry and return true if the budget allows it."""
        if self.remaining(now=now) < 1:
            return False
        self._retries.append(now)
        return True


def _expire(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
