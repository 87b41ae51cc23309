"""Closes connections whose callers are too slow to send a header."""

from collections.abc import Iterable

from balsamrail.clock import Clock
from balsamrail.exchange.caller_refusals import CallerRefusals
from balsamrail.exchange.caller_stream import CallerStream


class HeaderTimeouts:
    """Closes connections on which a header has been incomplete for too long.

    A connection is closed at the second check after its time is over. At the first one, a host that
    was suspended may not have read yet what arrived meanwhile::

        timeouts.check(connections, limit_s=3)  # about every second
    """

    __slots__ = ('_clock', '_overdue', '_refusals')

    def __init__(self, *, clock: Clock, refusals: CallerRefusals) -> None:
        self._clock = clock
        self._refusals = refusals
        self._overdue: set[CallerStream] = set()

    def check(self, streams: Iterable[CallerStream], *, limit_s: float) -> None:
        """Close the connections whose header is late for the second time.

        :param limit_s: how long a header may take from its first to its last byte, in seconds.
        """
        earliest = self._clock.monotonic() - limit_s
        late = {stream for stream in streams if _is_late(stream, earliest)}
        for stream in late & self._overdue:
            self._refusals.note('slow_header')
            stream.cut_off()
        self._overdue = late - self._overdue


def _is_late(stream: CallerStream, earliest: float) -> bool:
    since = stream.header_since()
    return since is not None and since < earliest
