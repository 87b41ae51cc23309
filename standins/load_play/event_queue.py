"""Event queue of the simulation, in virtual time."""

import heapq
import itertools
from collections.abc import Callable


class EventQueue:
    """Runs callbacks in the order of their scheduled times."""

    __slots__ = ('_calls', '_numbers', 'now')

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule ``call`` in ``delay_s`` seconds."""
        heapq.heappush(self._calls, (self.now + delay_s, next(self._numbers), call))

    def run(self) -> None:
        """Run all callbacks, including those scheduled during the run."""
        while self._calls:
            self.now, _, call = heapq.heappop(self._calls)
            call()
