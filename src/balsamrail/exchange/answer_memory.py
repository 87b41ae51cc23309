"""The memory that unfinished answers of targets, upstreams and the store take together."""

from balsamrail.exchange.response_usage import AbortCallback, ResponseUsage
from balsamrail.metrics import Metrics

_BYTES_IN_MB = 1_000_000
# A quarter of the process's memory: an answer that becomes whole is copied once and may be as
# large as all others together, which makes a half, and the process itself takes the rest.
_MEMORY_DIVISOR = 4


class AnswerMemory:
    """Bounds the bytes received for all unfinished answers of one host.

    Beyond the bound the answers that received most are cut off, so that answers of a normal size
    reach their callers while others come without end::

        receipt = memory.open(cut=close_connection)
        memory.take(receipt, 65_536)
        memory.close(receipt)

    :param memory_mb: the memory of the process.
    :param metrics: counts the answers that are cut off.
    """

    __slots__ = ('_metrics', '_open', 'limit_bytes', 'used_bytes')

    def __init__(self, *, memory_mb: int, metrics: Metrics) -> None:
        self._metrics = metrics
        self._open: set[ResponseUsage] = set()
        self.limit_bytes = memory_mb * _BYTES_IN_MB // _MEMORY_DIVISOR
        self.used_bytes = 0

    def open(self, *, abort: AbortCallback) -> ResponseUsage:
        """Return the receipt of an answer that is about to be received.

        :param abort: ends the answer; called at most once.
        """
        usage = ResponseUsage(abort=abort)
        self._open.add(usage)
        return usage

    def add_bytes(self, usage: ResponseUsage, count: int) -> None:
        """Count received bytes, and cut off the largest answers beyond the bound."""
        usage.received_bytes += count
        self.used_bytes += count
        while self.used_bytes > self.limit_bytes:
            largest = max(self._open, key=lambda each: each.received_bytes)
            self.close(largest)
            self._metrics.count('answers_cut_off')
            largest.abort(
                f'cut off after {largest.received_bytes} bytes, the largest of the answers that '
                f'together exceed {self.limit_bytes} bytes'
            )

    def close(self, usage: ResponseUsage) -> None:
        """Count the bytes of an answer no longer."""
        if usage in self._open:
            self._open.remove(usage)
            self.used_bytes -= usage.received_bytes
