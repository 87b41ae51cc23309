"""Writes lines without ever waiting for who reads them."""

import asyncio
import os
import select
from collections import deque

_FLUSH_S = 0.05
_MOST_BYTES = 1_048_576
# A pipe that is ready takes this much at once (PIPE_BUF of POSIX is at least 512, here 4,096).
_CHUNK_BYTES = 4_096


class LogBuffer:
    """Gathers lines and writes them when the descriptor takes them.

    A reader that is slow or stuck must not hold up requests, so lines beyond 1 MB are dropped and
    counted; their number is written as soon as there is room::

        log = Log(host='attiki-a-1', output=LogBuffer(descriptor=1))

    Has to be made within a running loop. :meth:`close` writes what still can be written.

    :param descriptor: an open file, pipe or terminal.
    """

    __slots__ = ('_bytes', '_descriptor', '_dropped', '_is_scheduled', '_lines', '_loop', '_rest')

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._lines: deque[bytes] = deque()
        self._rest = b''
        self._bytes = 0
        self._dropped = 0
        self._is_scheduled = False

    def write(self, text: str, /) -> None:
        """Take one line with its end."""
        line = text.encode()
        if self._bytes + len(line) > _MOST_BYTES:
            self._dropped += 1
        else:
            self._lines.append(line)
            self._bytes += len(line)
        self._schedule()

    def close(self) -> None:
        """Write what the descriptor takes now."""
        self._flush()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_later(_FLUSH_S, self._flush_later)

    def _flush_later(self) -> None:
        self._is_scheduled = False
        self._flush()
        if self._lines or self._rest:
            self._schedule()

    def _flush(self) -> None:
        while (self._rest or self._lines or self._dropped) and self._is_ready():
            if len(self._rest) < _CHUNK_BYTES:
                self._gather()
            written = os.write(self._descriptor, self._rest[:_CHUNK_BYTES])
            self._rest = self._rest[written:]

    def _gather(self) -> None:
        parts = [self._rest]
        size = len(self._rest)
        while self._lines and size < _CHUNK_BYTES:
            line = self._lines.popleft()
            self._bytes -= len(line)
            size += len(line)
            parts.append(line)
        if self._dropped and not self._lines:
            parts.append(f'event=log_lines_dropped count={self._dropped}\n'.encode())
            self._dropped = 0
        self._rest = b''.join(parts)

    def _is_ready(self) -> bool:
        try:
            return bool(select.select([], [self._descriptor], [], 0)[1])
        except ValueError:
            # Closed, or beyond the descriptors that select knows.
            return False
