"""Limits the number of callers' connections."""

from collections.abc import Callable, Iterator

from tornado.iostream import IOStream

from balsamrail.exchange.caller_refusals import CallerRefusals


class ConnectionLimiter:
    """Closes the connection that has waited longest when there are too many.

    A connection waits while it is idle, its request is incomplete, or its caller does not read the
    response. One whose request is being handled is not closed, since the request may have been
    passed on; if all are such, the new one is closed::

        limiter.add(stream)
        limiter.note_waiting(stream)  # a response has been written
        limiter.remove(stream)

    :param is_handling: returns whether a request of the connection is being handled.
    """

    __slots__ = ('_is_handling', '_refusals', '_streams', 'limit')

    def __init__(
        self,
        *,
        limit: int,
        refusals: CallerRefusals,
        is_handling: Callable[[IOStream], bool],
    ) -> None:
        self._is_handling = is_handling
        self._refusals = refusals
        # In the order in which they began to wait.
        self._streams: dict[IOStream, None] = {}
        self.limit = limit

    def __iter__(self) -> Iterator[IOStream]:
        return iter(self._streams)

    def __len__(self) -> int:
        return len(self._streams)

    def add(self, stream: IOStream) -> None:
        """Add an accepted connection, and close one above the limit."""
        self._streams[stream] = None
        if len(self._streams) > self.limit:
            self._close_one()

    def note_waiting(self, stream: IOStream) -> None:
        """Note that a connection begins to wait for a request, unless it has been removed."""
        if stream in self._streams:
            self._streams.pop(stream)
            self._streams[stream] = None

    def remove(self, stream: IOStream) -> None:
        """Remove a connection that has been closed."""
        self._streams.pop(stream, None)

    def _close_one(self) -> None:
        waiting = (
            stream for stream in self._streams if stream.writing() or not self._is_handling(stream)
        )
        # The new connection waits too, so that there is always one.
        longest = next(waiting)
        self._streams.pop(longest)
        self._refusals.note('connections')
        longest.close()
