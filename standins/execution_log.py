"""Log of all executions of an upstream stand-in."""

import json
import time
from dataclasses import asdict
from pathlib import Path

from standins.execution import Execution


class ExecutionLog:
    """Stores executions in memory and optionally in a file, so that they survive a crash.

    :param path: a JSON lines file with one line for the start and one for the end of each
        execution.
    """

    __slots__ = ('_path', 'executions')

    def __init__(self, *, path: Path | None = None) -> None:
        self._path = path
        self.executions: list[Execution] = []
        if path is not None and path.exists():
            self._load(path)

    def begin(self, execution: Execution) -> None:
        """Append an execution that starts now."""
        self.executions.append(execution)
        self._append(execution)

    def end(self, execution: Execution, *, state: str) -> None:
        """Set the final state of an execution unless it has already ended."""
        if execution.state == 'running':
            execution.state = state
            execution.ended_s = time.monotonic()
            self._append(execution)

    def end_all(self, *, state: str) -> None:
        """End all running executions."""
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
