"""Disable each protective mechanism in a copy of the tree and check that its scenario fails.

Prints the mechanism, the scenario and the first line of the failure. The exit code is 1 if a
scenario passes without its mechanism, or if a mutant does not match the source.
"""

import os
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tools.mutant import Mutant
from tools.mutants import MUTANTS

ROOT = Path(__file__).resolve().parent.parent
PARTS = ('src', 'standins', 'features', 'tools', 'benchmarks', 'examples', 'schema')
TIMEOUT_S = 300
PARALLEL = 3


def copy_tree(folder: Path) -> None:
    ignore = shutil.ignore_patterns('__pycache__')
    for part in PARTS:
        if (ROOT / part).exists():
            shutil.copytree(ROOT / part, folder / part, ignore=ignore)
    shutil.copy(ROOT / 'pyproject.toml', folder)


def first_failure_line(output: str) -> str:
    lines = [line.strip() for line in output.splitlines()]
    for marker in ('ASSERT FAILED', 'AssertionError', 'Error:'):
        for line in lines:
            if marker in line:
                return line[:200]
    return 'scenario failed'


def run_mutant(mutant: Mutant) -> tuple[bool, str]:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        copy_tree(folder)
        source = folder / mutant.file
        text = source.read_text() if source.exists() else ''
        if text.count(mutant.old) != 1:
            return False, f'found {text.count(mutant.old)} times in {mutant.file}, not once'
        source.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, '-m', 'behave', '--no-color', '-f', 'plain', mutant.feature]
        command += ['-n', f'^{re.escape(mutant.scenario)}']
        environment = {**os.environ, 'PYTHONPATH': f'{folder}/src:{folder}'}
        try:
            completed = subprocess.run(
                command,
                cwd=folder,
                env=environment,
                capture_output=True,
                text=True,
                timeout=TIMEOUT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return True, f'did not end within {TIMEOUT_S} s'
    if completed.returncode == 0 and re.search('[1-9][0-9]* scenarios? passed', completed.stdout):
        return False, 'the scenario passes without the mechanism'
    if not re.search('0 features passed, (1 failed|0 failed, 1 error)', completed.stdout):
        return False, f'did not run: {completed.stdout[-200:]}{completed.stderr[-200:]}'
    return True, first_failure_line(completed.stdout + completed.stderr)


def main() -> int:
    wanted = sys.argv[1:]
    mutants = [
        mutant
        for mutant in MUTANTS
        if not wanted or any(word in f'{mutant.file} {mutant.mechanism}' for word in wanted)
    ]
    failed = 0
    with ThreadPoolExecutor(PARALLEL) as pool:
        for mutant, (caught, detail) in zip(mutants, pool.map(run_mutant, mutants), strict=True):
            failed += not caught
            print(f'{"caught" if caught else "MISSED"}: {mutant.mechanism}')
            print(f'    proof: {mutant.feature}: {mutant.scenario}')
            print(f'    {detail}', flush=True)
    print(f'{len(mutants) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
