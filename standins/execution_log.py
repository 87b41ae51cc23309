"""The record of all executions of an upstream's stand-in."""

import json
import time
from dataclasses import asdict
from pathlib import Path

from standins.execution import Execution


class ExecutionLog:
    """Keeps executions, in a file too if one is named, so that they survive a crash.

    :param path: a file of JSON lines, one when an execution begins and one when it ends.
    """

    __slots__ = ('_path', 'executions')

    def __init__(self, *, path: Path | None = None) -> None:
        self._path = path
        self.executions: list[Execution] = []
        if path is not None and path.exists():
            self._load(path)

    def begin(self, execution: Execution) -> None:
        """Add an execution that begins now."""
        self.executions.append(execution)
        self._append(execution)

    def end(self, execution: Execution, *, state: str) -> None:
        """Set the state of an execution, unless it has ended before."""
        if execution.state == 'running':
            execution.state = state
            execution.ended_s = time.monotonic()
            self._append(execution)

    def end_all(self, *, state: str) -> None:
        """End whatever runs."""
        for execution in self.executions:
            self.end(execution, state=state)

    def _append(self, execution: Execution) -> None:
        if self._path is not None:
            with self._path.open('a') as lines:
                lines.write(json.dumps(asdict(execution)) + '\n')

    def _load(self, path: Path) -> None:
        by_number: dict[int, Execution] = {}
        for line in path.read_text().splitlines():
            execution = Execution(**json.loads(line))
            by_number[execution.number] = execution
        self.executions = list(by_number.values())
        self.end_all(state='crashed')
