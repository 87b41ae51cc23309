"""Command-line output of a benchmark module."""

from collections.abc import Iterable

from benchmarks.figure import Figure


def report(figures: Iterable[Figure]) -> int:
    """Print each figure when it is measured; return exit code 1 if a bound is exceeded."""
    all_ok = True
    for figure in figures:
        print(figure.line(), flush=True)
        all_ok = all_ok and figure.ok
    return 0 if all_ok else 1
