"""Buffers log lines and writes them without blocking on a slow reader."""

import asyncio
import os
import select
from collections import deque

_FLUSH_INTERVAL_S = 0.05
_MAX_BUFFERED_BYTES = 1_048_576
# A writable pipe accepts this much without blocking (PIPE_BUF; POSIX: at least 512, Linux: 4,096).
_CHUNK_BYTES = 4_096


class LogBuffer:
    """Buffers lines and writes them when the file descriptor is writable.

    A slow or blocked reader must not delay requests, so lines beyond 1 MB are dropped and counted.
    Their number is written as soon as the buffer has been drained::

        log = Log(host='attiki-a-1', output=LogBuffer(descriptor=1))

    Must be created inside a running event loop. :meth:`close` writes as much as possible.

    :param descriptor: an open file, pipe or terminal.
    """

    __slots__ = (
        '_buffered_bytes',
        '_descriptor',
        '_dropped_lines',
        '_is_scheduled',
        '_lines',
        '_loop',
        '_pending',
    )

    def __init__(self, *, descriptor: int) -> None:
        self._descriptor = descriptor
        self._loop = asyncio.get_running_loop()
        self._lines: deque[bytes] = deque()
        self._pending = b''
        self._buffered_bytes = 0
        self._dropped_lines = 0
        self._is_scheduled = False

    def write(self, text: str, /) -> None:
        """Append one line, including its line end."""
        line = text.encode()
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
        else:
            self._lines.append(line)
            self._buffered_bytes += len(line)
        self._schedule()

    def close(self) -> None:
        """Write the lines that the descriptor accepts without blocking."""
        self._flush()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_later(_FLUSH_INTERVAL_S, self._flush_and_reschedule)

    def _flush_and_reschedule(self) -> None:
        self._is_scheduled = False
        self._flush()
        if self._lines or self._pending:
            self._schedule()

    def _flush(self) -> None:
        while (self._pending or self._lines or self._dropped_lines) and self._is_writable():
            if len(self._pending) < _CHUNK_BYTES:
                self._fill_pending()
            written = os.write(self._descriptor, self._pending[:_CHUNK_BYTES])
            self._pending = self._pending[written:]

    def _fill_pending(self) -> None:
        parts = [self._pending]
        size = len(self._pending)
        while self._lines and size < _CHUNK_BYTES:
            line = self._lines.popleft()
            self._buffered_bytes -= len(line)
            size += len(line)
            parts.append(line)
        if self._dropped_lines and not self._lines:
            parts.append(f'event=log_lines_dropped count={self._dropped_lines}\n'.encode())
            self._dropped_lines = 0
        self._pending = b''.join(parts)

    def _is_writable(self) -> bool:
        try:
            return bool(select.select([], [self._descriptor], [], 0)[1])
        except ValueError:
            # The descriptor is closed or exceeds the range supported by select().
            return False
