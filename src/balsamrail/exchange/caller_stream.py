"""The byte stream of a caller's connection."""

import contextlib
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from balsamrail.environment import Environment
from balsamrail.exchange.response_queue import ResponseQueue

# How long a caller has to close a connection after the last response on it.
_LINGER_S = 1.0
# Bytes behind the request in progress that are read before its response is sent. The rest stays
# with the operating system, which slows down the caller.
_READ_AHEAD_BYTES = 65_536
# Fewer undelivered bytes, as most requests have, are not accounted for.
_MIN_COUNTED_BYTES = 4_096


class CallerStream(IOStream):
    """An :class:`IOStream` for callers that send requests before earlier ones were answered.

    Tornado stops reading while it holds unprocessed bytes. It then notices neither that the caller
    disconnects nor when later requests arrive. This stream continues to read up to a limit and
    records when each byte arrived::

        stream = CallerStream.replace(accepted, environment=environment)
        stream.consumed_at()  # when the last processed byte arrived

    ``is_finished`` is true once no further request on the connection is to be processed.
    ``is_from_peer`` is true if the caller is another host. ``responses`` orders the responses to
    requests that run concurrently.
    """

    def __init__(self, *args: Any, environment: Environment, **kwargs: Any) -> None:
        self._environment = environment
        self.is_finished = False
        self.is_from_peer = False
        self.responses = ResponseQueue()
        self._close_listeners: list[Callable[[], None]] = []
        self._received_bytes = 0
        # Bytes that have been received and not been delivered, and how many of them are counted.
        self._undelivered_bytes = 0
        self._counted_bytes = 0
        self._is_cut_off = False
        self._reserved_bytes = 0
        # Pairs of the number of bytes received in total and the time.
        self._arrivals: deque[tuple[int, float]] = deque()
        super().__init__(*args, **kwargs)

    @classmethod
    def replace(cls, stream: IOStream, *, environment: Environment) -> 'CallerStream':
        """Return a stream that takes over the socket of one that has not been used yet."""
        return cls(
            stream.socket,
            environment=environment,
            max_buffer_size=stream.max_buffer_size,
            read_chunk_size=stream.read_chunk_size,
        )

    def consumed_at(self) -> float:
        """Return when the last byte that was processed arrived, in seconds of the event loop."""
        self._forget_arrivals()
        return self._arrivals[0][1]

    def header_since(self) -> float | None:
        """Return when the first byte of a header arrived that is incomplete, ``None`` if there is none."""
        # Tornado searches for a pattern only to find the end of a header.
        if self.closed() or self._read_regex is None or not self._read_buffer_size:
            return None
        consumed_bytes = self._received_bytes - self._read_buffer_size
        return next(at for total_bytes, at in self._arrivals if total_bytes > consumed_bytes)

    def finish(self) -> None:
        """Close the connection after the response that was written last.

        Closing a socket at once while requests are unread would reset the connection, and the
        caller might lose the response. So only the sending side is closed now, and the rest once
        the caller has closed its side, or after a second.
        """
        self.is_finished = True
        if self.closed():
            return
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)
        self.io_loop.call_later(_LINGER_S, self.close)

    def add_close_listener(self, on_close: Callable[[], None]) -> None:
        """Call ``on_close`` when the connection closes, and read ahead until it is removed."""
        self._close_listeners.append(on_close)
        self._maybe_add_error_listener()

    def remove_close_listener(self, on_close: Callable[[], None]) -> None:
        """Do not call ``on_close`` any more."""
        if on_close in self._close_listeners:
            self._close_listeners.remove(on_close)

    def close_fd(self) -> None:
        """Close the socket and notify the listeners."""
        super().close_fd()
        for on_close in self._close_listeners:
            self.io_loop.add_callback(on_close)
        self._close_listeners = []
        self._reserved_bytes = 0
        self._count_undelivered(0)

    def note_delivered(self) -> None:
        """Note that all bytes that have left the buffer have been delivered.

        Tornado delivers bytes in a later iteration of the event loop than the one that reads them,
        so that there are some of each connection at the same time.
        """
        if not self.closed():
            self._count_undelivered(self._read_buffer_size)
            self._forget_arrivals()

    def reserve(self, count: int) -> None:
        """Count bytes that the rest of a rejected request takes until the connection closes.

        This refuses no other request: while the memory is full of complete ones, each refusal would
        cause the next.
        """
        if not self.closed() and not self._is_cut_off:
            self._reserved_bytes = count
            self._counted_bytes = max(count, self._counted_bytes)
            self._environment.caller_memory.note_buffered(self, self._counted_bytes)

    def is_handling(self) -> bool:
        """Return whether a complete request of the connection is being handled."""
        return bool(self._close_listeners)

    def may_be_cut_off(self) -> bool:
        """Return whether the connection has no request whose header is complete."""
        return self.responses.latest is None and not self.is_from_peer

    def cut_off(self) -> None:
        """Close the connection once the event loop has handled the current event."""
        self._is_cut_off = True
        self._counted_bytes = 0
        self.io_loop.add_callback(self.close)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket and record the time."""
        count = super().read_from_fd(buf)
        if count:
            self._received_bytes += count
            self._arrivals.append((self._received_bytes, self._environment.clock.monotonic()))
            self._count_undelivered(self._undelivered_bytes + count)
        return count

    def _handle_events(self, fd: Any, events: int) -> None:
        super()._handle_events(fd, events)
        self._read_ahead()

    def _maybe_add_error_listener(self) -> None:
        super()._maybe_add_error_listener()
        self._read_ahead()

    def _forget_arrivals(self) -> None:
        """Forget when processed bytes arrived, except the last: a body may arrive byte by byte."""
        consumed_bytes = self._received_bytes - self._read_buffer_size
        while len(self._arrivals) > 1 and self._arrivals[0][0] < consumed_bytes:
            self._arrivals.popleft()

    def _count_undelivered(self, count: int) -> None:
        self._undelivered_bytes = count
        undelivered = count if count > _MIN_COUNTED_BYTES else 0
        counted = 0 if self._is_cut_off else max(self._reserved_bytes, undelivered)
        if counted != self._counted_bytes:
            self._counted_bytes = counted
            self._environment.caller_memory.set_buffered(self, counted)

    def _read_ahead(self) -> None:
        """Keep reading while a request is in progress, even if bytes are left in the buffer."""
        is_in_progress = bool(self._close_listeners) or self._close_callback is not None
        if self._read_buffer_size and not self._environment.caller_memory.has_room():
            return
        if is_in_progress and not self.closed() and self._read_buffer_size < _READ_AHEAD_BYTES:
            self._add_io_state(IOLoop.READ)
