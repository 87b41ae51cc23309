"""Run the behave scenarios and tolerate failures of exactly those listed in KNOWN-RED.txt.

An entry is one line, ``feature file :: scenario :: command and seed :: what was seen :: issue``.
A listed scenario that passes fails the run, so that the list stays accurate, unless its
description begins with "flaky:". Flaky entries are to be traced before other work.

Scenarios with the tag ``@long`` are excluded unless ``--tags`` is given, as in ``--tags=long``.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
# Longer messages of failed steps are truncated from the start.
_MAX_MESSAGE_CHARS = 4_000


def read_known_red() -> dict[tuple[str, str], str]:
    """Return the description of each known failure by feature file and scenario."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text().splitlines()]
    entries = [line.split(' :: ') for line in lines if line and not line.startswith('#')]
    return {(entry[0], entry[1]): entry[3] for entry in entries}


def show_failure(scenario: dict[str, Any]) -> None:
    """Print the error message of the failed step, which the progress format omits."""
    for step in scenario.get('steps', []):
        result = step.get('result', {})
        if result.get('status') in {'failed', 'error'}:
            lines = result.get('error_message', [])
            text = lines if isinstance(lines, str) else '\n'.join(lines)
            print(f'{scenario["name"]}: {step["name"]}\n{text[-_MAX_MESSAGE_CHARS:]}', flush=True)


def run_scenarios(arguments: list[str]) -> list[tuple[str, str, str]]:
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / 'report.json'
        command = [sys.executable, '-m', 'behave', '--no-color']
        command += ['-f', 'progress', '-f', 'json', '-o', '/dev/stdout', '-o', str(report)]
        if not any(argument.startswith('--tags') for argument in arguments):
            command.append('--tags=not long')
        completed = subprocess.run([*command, *arguments], cwd=ROOT, check=False)
        if not report.exists() or not report.read_text().strip():
            sys.exit(completed.returncode or 1)
        features = json.loads(report.read_text())
    for feature in features:
        for element in feature.get('elements', []):
            show_failure(element)
    return [
        (feature['location'].rsplit(':', 1)[0], element['name'].strip(), element['status'])
        for feature in features
        for element in feature.get('elements', [])
        if element['type'] == 'scenario'
    ]


def main() -> int:
    seed = os.environ.setdefault('BALSAMRAIL_SEED', '1')
    print(f'seed {seed} (BALSAMRAIL_SEED)', flush=True)
    known_red = read_known_red()
    counts: Counter[str] = Counter()
    faults = []
    for file, name, status in run_scenarios(sys.argv[1:]):
        if (file, name) in known_red:
            print(f'known red: {file} :: {name}: {status}')
            if status == 'passed' and not known_red[file, name].startswith('flaky:'):
                faults.append(f'{file} :: {name} passes, remove it from KNOWN-RED.txt')
            counts['skipped'] += 1
        elif status in {'passed', 'skipped'}:
            counts[status] += 1
        else:
            counts['failed'] += 1
            faults.append(f'{file} :: {name}: {status}')
    for fault in faults:
        print(fault)
    failed = counts['failed']
    print(f'{counts["passed"]} passed, {failed} failed, {counts["skipped"]} skipped')
    return 1 if faults or not counts['passed'] else 0


if __name__ == '__main__':
    sys.exit(main())
