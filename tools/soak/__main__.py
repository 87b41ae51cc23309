"""Run the soak test for a range of seeds."""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from tools.soak.behaviours import BEHAVIOURS, parse_behaviours
from tools.soak.run import run_seed


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1', help='such as 7, 1-50, or fresh:10')
    parser.add_argument(
        '--seconds', type=float, default=20, help='duration of the faults in a run'
    )
    parser.add_argument('--hosts', type=int, default=6)
    parser.add_argument('--callers', type=int, default=24)
    parser.add_argument('--keep', type=Path, help='folder for the host logs')
    parser.add_argument(
        '--with',
        dest='behaviours',
        type=parse_behaviours,
        default=frozenset(),
        help=f'additional faults, a list of {", ".join(BEHAVIOURS)}, or all',
    )
    options = parser.parse_args()
    failed = 0
    for seed in _seeds(options.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=options.keep))
        report = asyncio.run(
            run_seed(
                seed=seed,
                folder=folder,
                seconds=options.seconds,
                hosts=options.hosts,
                callers=options.callers,
                behaviours=options.behaviours,
            )
        )
        print(report.line(), flush=True)
        for line in report.broken[:20]:
            print(f'  {line}', flush=True)
        if report.broken:
            failed += 1
            print(f'  logs in {folder}', flush=True)
    print(f'{failed} of the runs broke a promise')
    return 1 if failed else 0


def _seeds(text: str) -> list[int]:
    kind, _, count = text.partition(':')
    if kind == 'fresh':
        first = int(time.time())
        return list(range(first, first + int(count)))
    first_seed, _, last = text.partition('-')
    return list(range(int(first_seed), int(last or first_seed) + 1))


if __name__ == '__main__':
    sys.exit(main())
