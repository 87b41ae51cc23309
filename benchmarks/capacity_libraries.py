"""Resident memory of a process after each of a series of library imports."""

import subprocess
import sys

from benchmarks.figure import Figure

IMPORTS = (
    '',
    'tornado.web, tornado.httpserver, tornado.httpclient',
    'msgpack',
    'hdrh.histogram',
    'eliot',
    'apischema',
    'balsamrail.node',
)
_PROGRAM = """
import re, sys
for names in sys.argv[1:]:
    if names:
        exec('import ' + names)
    with open('/proc/self/status') as status:
        print(re.search(r'VmRSS:\\s+(\\d+) kB', status.read())[1])
"""


def run() -> list[Figure]:
    """Return the increase of the resident memory by each import."""
    output = subprocess.run(
        [sys.executable, '-c', _PROGRAM, *IMPORTS], capture_output=True, check=True, text=True
    ).stdout
    sizes = [int(line) for line in output.split()]
    before = [0, *sizes]
    return [
        Figure(name=f'import {names or "nothing"}', value=(size - before[index]) / 1024, unit='MB')
        for index, (names, size) in enumerate(zip(IMPORTS, sizes, strict=True))
    ]
