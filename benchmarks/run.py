"""Run all benchmarks with bounds, as ``make bench`` does.

Prints one JSON line per figure. The exit code is 1 if a bound is exceeded.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks import claims, dissemination, forwarding, lookup, steering
from benchmarks.figure import Figure

_RUN_BY_MODULE = {
    'claims': claims.run,
    'dissemination': dissemination.run,
    'forwarding': forwarding.run,
    'lookup': lookup.run,
    'steering': steering.run,
}


def _figures(modules: list[str]) -> Iterator[Figure]:
    for module in modules:
        yield from _RUN_BY_MODULE[module]()


def _read(path: Path) -> dict[str, Any]:
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    return {line['name']: line for line in lines}


def compare(figures: list[Figure], earlier: dict[str, Any]) -> list[str]:
    """Return the ratio of each figure to its earlier value, and the names in only one run."""
    rows = []
    for figure in figures:
        known = earlier.get(figure.name)
        if known is None:
            rows.append(f'{figure.name}: not in the earlier run')
        elif known['value']:
            rows.append(f'{figure.name}: {figure.value / known["value"]:.3f}')
        else:
            rows.append(f'{figure.name}: {known["value"]} -> {figure.value:.4g}')
    names = {figure.name for figure in figures}
    return [*rows, *(f'{name}: only in the earlier run' for name in earlier if name not in names)]


def plot(figures: list[Figure], path: Path) -> None:
    """Plot each bounded figure as a fraction of its bound."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    bounded = [figure for figure in figures if figure.bound]
    fig, axes = pyplot.subplots(figsize=(9, 1 + len(bounded) / 4), layout='constrained')
    colors = ['tab:blue' if figure.ok else 'tab:red' for figure in bounded]
    axes.barh(
        [figure.name for figure in bounded],
        [figure.value / (figure.bound or 1) for figure in bounded],
        color=colors,
    )
    axes.axvline(1, color='black')
    axes.set_xlabel('value / bound')
    axes.invert_yaxis()
    fig.savefig(path)


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('modules', nargs='*', metavar='MODULE', help=', '.join(_RUN_BY_MODULE))
    parser.add_argument('--output', type=Path, help='write the lines to this file')
    parser.add_argument('--compare', type=Path, help='print ratios to the lines of this file')
    parser.add_argument('--plot', type=Path, help='draw values against bounds to this file')
    options = parser.parse_args()
    unknown = set(options.modules) - _RUN_BY_MODULE.keys()
    if unknown:
        parser.error(f'no such benchmark: {", ".join(sorted(unknown))}')
    earlier = _read(options.compare) if options.compare else None
    figures = []
    for figure in _figures(options.modules or list(_RUN_BY_MODULE)):
        print(figure.line(), flush=True)
        figures.append(figure)
    if options.output:
        options.output.write_text(''.join(f'{figure.line()}\n' for figure in figures))
    if earlier is not None:
        print('\n'.join(compare(figures, earlier)), file=sys.stderr)
    if options.plot:
        plot(figures, options.plot)
    return 0 if all(figure.ok for figure in figures) else 1


if __name__ == '__main__':
    sys.exit(main())
