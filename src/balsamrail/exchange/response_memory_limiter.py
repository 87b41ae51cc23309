"""Limits the total memory of responses that are being received, or wait for their callers."""

from balsamrail.exchange.response_usage import AbortCallback, ResponseUsage
from balsamrail.metrics import Metrics

_BYTES_IN_MB = 1_000_000
# A quarter of the memory of the process: a completed response is copied once and may be as large
# as all others together, which amounts to one half. The process itself needs the other half.
_MEMORY_DIVISOR = 4


class ResponseMemoryLimiter:
    """Limits the bytes of all responses of one host that are not passed on completely.

    These are the incomplete responses of targets, upstreams and the store, and the complete ones
    that callers have not read yet, however slow the callers are.

    Above the limit the largest responses are aborted, so that responses of a normal size still
    complete while others are endless::

        usage = memory.open(abort=close_connection)
        memory.add_bytes(usage, 65_536)
        memory.close(usage)

    :param memory_mb: the memory of the process.
    :param metrics: counts the aborted responses.
    """

    __slots__ = ('_metrics', '_open', 'limit_bytes', 'used_bytes')

    def __init__(self, *, memory_mb: int, metrics: Metrics) -> None:
        self._metrics = metrics
        self._open: set[ResponseUsage] = set()
        self.limit_bytes = memory_mb * _BYTES_IN_MB // _MEMORY_DIVISOR
        self.used_bytes = 0

    def open(self, *, abort: AbortCallback) -> ResponseUsage:
        """Start the accounting of a response that is about to be received or written.

        :param abort: aborts the response; called at most once.
        """
        usage = ResponseUsage(abort=abort)
        self._open.add(usage)
        return usage

    def hold(self, count: int, *, abort: AbortCallback) -> ResponseUsage:
        """Account for ``count`` bytes of a complete response until it has been written.

        :param abort: aborts the response, also before this method returns if it is the largest.
        """
        usage = self.open(abort=abort)
        self.add_bytes(usage, count)
        return usage

    def add_bytes(self, usage: ResponseUsage, count: int) -> None:
        """Add buffered bytes, and abort the largest responses above the limit."""
        usage.received_bytes += count
        self.used_bytes += count
        while self.used_bytes > self.limit_bytes:
            largest = max(self._open, key=lambda each: each.received_bytes)
            self.close(largest)
            self._metrics.count('answers_cut_off')
            largest.abort(
                f'cut off after {largest.received_bytes} bytes, the largest of the responses that '
                f'together exceed {self.limit_bytes} bytes'
            )

    def close(self, usage: ResponseUsage) -> None:
        """End the accounting of a response."""
        if usage in self._open:
            self._open.remove(usage)
            self.used_bytes -= usage.received_bytes
