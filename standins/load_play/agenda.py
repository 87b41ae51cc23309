"""What happens when, in virtual time."""

import heapq
import itertools
from collections.abc import Callable


class Agenda:
    """Runs calls in the order of their times."""

    __slots__ = ('_calls', '_numbers', 'now')

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run ``call`` after ``delay_s`` seconds."""
        heapq.heappush(self._calls, (self.now + delay_s, next(self._numbers), call))

    def run(self) -> None:
        """Run everything, calls that are added meanwhile included."""
        while self._calls:
            self.now, _, call = heapq.heappop(self._calls)
            call()
