"""The budget of second attempts."""

from collections import deque
from collections.abc import Callable


class RetryBudget:
    """Allows second attempts in proportion to the requests of a window.

    Every host keeps to the ratio on its own and to its part of the slack, so the sum over all
    hosts keeps to both without any exchange.

    :param ratio: second attempts for each request.
    :param slack: gives the further second attempts in a window.
    :param window_s: the window in seconds.
    """

    __slots__ = ('_ratio', '_requests', '_retries', '_slack', '_window_s')

    def __init__(self, *, ratio: float, slack: Callable[[], float], window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def note_request(self, *, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        _forget(self._requests, now - self._window_s)

    def left(self, *, now: float) -> float:
        """Return how many second attempts may be made now."""
        _forget(self._requests, now - self._window_s)
        _forget(self._retries, now - self._window_s)
        return self._ratio * len(self._requests) + self._slack() - len(self._retries)

    def take(self, *, now: float) -> bool:
        """Count a second attempt if the budget allows it."""
        if self.left(now=now) < 1:
            return False
        self._retries.append(now)
        return True


def _forget(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
