"""Limits the total memory of the requests that callers have a host keep."""

from typing import Protocol

from balsamrail.clock import Clock
from balsamrail.errors import BodyTimeoutError, CallerMemoryError
from balsamrail.exchange.caller_refusals import CallerRefusals
from balsamrail.exchange.request_usage import RefuseCallback, RequestUsage

_BYTES_IN_MB = 1_000_000
# The memory that is left to the process itself (some 40 MB) and to the responses that it holds
# (38 MB of 152). A body of 64 MiB, the largest on the platform, then fits a host of 152 MB.
_RESERVED_MB = 80
_LARGEST_PART = 2
_SMALLEST_PART = 8
# Requests count as at least this old, so that among new ones the largest is refused.
_MIN_AGE_S = 0.01
# A body that has just begun says nothing about its rate yet.
_RATE_GRACE_S = 10
_RETRY_AFTER_S = 1


class BufferOwner(Protocol):
    """A connection with unprocessed bytes."""

    def may_be_cut_off(self) -> bool:
        """Return whether the connection has no request whose header is complete."""

    def cut_off(self) -> None:
        """Close the connection soon."""


class RequestMemoryLimiter:
    """Limits the bytes of all requests that are being received, or run.

    Above the limit the incomplete requests with the largest product of bytes and age are refused.
    That chooses callers that stop short of the end of large bodies, and never a small request that
    has just begun, which would free nothing. A connection with more bytes of an incomplete header
    is closed before. Complete requests are not refused, since they may have been passed on::

        usage = memory.open(header_bytes=400, refuse=reject)
        memory.hold(usage)
        memory.add_body(usage, 65_536)
        memory.complete(usage)
        usage.release()

    :param memory_mb: the memory of the process.
    :param limit_mb: the limit, 0 to derive it from the memory of the process.
    :param min_bytes_per_s: the smallest average rate at which a body has to arrive.
    """

    __slots__ = (
        '_buffered',
        '_clock',
        '_incomplete',
        '_min_bytes_per_s',
        '_open',
        '_refusals',
        'limit_bytes',
        'used_bytes',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        refusals: CallerRefusals,
        memory_mb: int,
        limit_mb: int,
        min_bytes_per_s: float,
    ) -> None:
        self._clock = clock
        self._refusals = refusals
        self._min_bytes_per_s = min_bytes_per_s
        self._open: set[RequestUsage] = set()
        self._incomplete: set[RequestUsage] = set()
        self._buffered: dict[BufferOwner, int] = {}
        self.limit_bytes = (limit_mb or _derived_limit_mb(memory_mb)) * _BYTES_IN_MB
        self.used_bytes = 0

    def open(
        self, *, header_bytes: int, refuse: RefuseCallback, reception_bytes: int = 0
    ) -> RequestUsage:
        """Return the accounting of a request whose header has arrived.

        :param reception_bytes: what the reception of its body takes besides the body.
        :param refuse: refuses the request, also in :meth:`hold` and :meth:`add_body`.
        """
        return RequestUsage(
            opened_at=self._clock.monotonic(),
            header_bytes=header_bytes,
            reception_bytes=reception_bytes,
            refuse=refuse,
            close=self._close,
        )

    def hold(self, usage: RequestUsage) -> None:
        """Start to count a request, which is refused if there is no memory for it."""
        self._open.add(usage)
        self._incomplete.add(usage)
        self._add(usage.held_bytes)

    def add_body(self, usage: RequestUsage, count: int) -> None:
        """Add received bytes of a body, unless the request has been refused."""
        if usage in self._open:
            usage.body_bytes += count
            self._add(count)

    def complete(self, usage: RequestUsage) -> None:
        """Note that a request is complete, and may be passed on from now on."""
        self._incomplete.discard(usage)
        if usage in self._open:
            self.used_bytes -= usage.reception_bytes
            usage.reception_bytes = 0

    def discard(self, usage: RequestUsage) -> None:
        """End the accounting of a request that is rejected, whoever owns it."""
        self._close(usage)

    def set_buffered(self, owner: BufferOwner, count: int) -> None:
        """Set the number of unprocessed bytes of a connection; refuse requests if it makes too many."""
        has_grown = count > self._buffered.get(owner, 0)
        self.note_buffered(owner, count)
        if has_grown:
            self._add(0)

    def note_buffered(self, owner: BufferOwner, count: int) -> None:
        """Set the number of unprocessed bytes of a connection without refusing any request."""
        self.used_bytes += count - self._buffered.pop(owner, 0)
        if count:
            self._buffered[owner] = count

    def has_room(self) -> bool:
        """Return whether bytes may be read before they are needed."""
        return 2 * self.used_bytes < self.limit_bytes

    def refuse_slow(self) -> None:
        """Refuse the requests whose body arrives too slowly."""
        now = self._clock.monotonic()
        for usage in tuple(self._incomplete):
            age_s = 0 if usage.body_since is None else now - usage.body_since
            if age_s > _RATE_GRACE_S and usage.body_bytes < age_s * self._min_bytes_per_s:
                self._refusals.note('slow_body')
                self._close(usage)
                usage.refuse(BodyTimeoutError(detail='the body arrives too slowly'))

    def _add(self, count: int) -> None:
        self.used_bytes += count
        if self.used_bytes > self.limit_bytes:
            self._make_room()

    def _make_room(self) -> None:
        now = self._clock.monotonic()

        def byte_seconds(usage: RequestUsage) -> float:
            return usage.held_bytes * (now - usage.opened_at + _MIN_AGE_S)

        while self.used_bytes > self.limit_bytes:
            largest = max(self._incomplete, key=byte_seconds, default=None)
            owner = self._largest_buffer()
            if owner is not None and self._is_larger(owner, largest):
                self._cut_off(owner)
            elif largest is not None:
                self._refuse(largest)
            else:
                # The rest are complete requests.
                break

    def _largest_buffer(self) -> BufferOwner | None:
        """Return the connection with the most bytes of an incomplete header."""
        owners = (owner for owner in self._buffered if owner.may_be_cut_off())
        return max(owners, key=self._buffered.__getitem__, default=None)

    def _is_larger(self, owner: BufferOwner, usage: RequestUsage | None) -> bool:
        return usage is None or self._buffered[owner] > usage.held_bytes

    def _cut_off(self, owner: BufferOwner) -> None:
        self._refusals.note('memory')
        self.used_bytes -= self._buffered.pop(owner)
        owner.cut_off()

    def _refuse(self, usage: RequestUsage) -> None:
        self._refusals.note('memory')
        self._close(usage)
        usage.refuse(
            CallerMemoryError(
                detail='the requests of callers take all the memory that there is for them',
                retry_after_s=_RETRY_AFTER_S,
            )
        )

    def _close(self, usage: RequestUsage) -> None:
        if usage in self._open:
            self._open.remove(usage)
            self._incomplete.discard(usage)
            self.used_bytes -= usage.held_bytes


def _derived_limit_mb(memory_mb: int) -> int:
    left_mb = min(memory_mb // _LARGEST_PART, memory_mb - _RESERVED_MB)
    return max(1, memory_mb // _SMALLEST_PART, left_mb)
