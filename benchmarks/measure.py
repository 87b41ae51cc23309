"""Measures processor time and memory of an action."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

_REPEATS = 7
_US_IN_S = 1_000_000


def processor_us(action: Callable[[], Any], *, rounds: int, repeats: int = _REPEATS) -> float:
    """Return the processor time of a call in microseconds.

    The result is the median of ``repeats`` means over ``rounds`` calls each, because other load on
    the machine makes single means vary. One warm-up call precedes the measurement.
    """
    action()
    costs = []
    for _ in range(repeats):
        gc.collect()
        started = time.process_time()
        for _ in range(rounds):
            action()
        costs.append((time.process_time() - started) * _US_IN_S / rounds)
    return statistics.median(costs)


class Traced:
    """Measures memory in a ``with`` block by tracemalloc: ``kept`` and ``peak`` in bytes."""

    def __enter__(self) -> 'Traced':
        self.kept = self.peak = 0
        gc.collect()
        tracemalloc.start()
        return self

    def __exit__(self, *error: object) -> None:
        gc.collect()
        self.kept, self.peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()


def kept_bytes(build: Callable[[], Any]) -> int:
    """Return the memory retained by the result of ``build``."""
    with Traced() as traced:
        kept = build()
    del kept
    return traced.kept


def peak_bytes(build: Callable[[], Any]) -> int:
    """Return the peak memory of ``build``."""
    with Traced() as traced:
        kept = build()
    del kept
    return traced.peak
