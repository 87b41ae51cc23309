"""The memory that one request of a caller takes."""

from collections.abc import Callable

from balsamrail.errors import RequestError

# Refuses a request that is not complete yet; the argument is the reason.
RefuseCallback = Callable[[RequestError], None]


class RequestUsage:
    """Counts the bytes that a host keeps of one request, until its last owner releases them.

    ``body_since`` is the event loop time from which its body is read, ``None`` before.
    ``reception_bytes`` is what the reception of its body takes besides, 0 once it is complete.

    :param opened_at: event loop time in seconds at which the header arrived.
    :param refuse: refuses the request; called at most once, and only before it is complete.
    :param close: ends the accounting of the request.
    """

    __slots__ = (
        '_close',
        '_owners',
        'body_bytes',
        'body_since',
        'header_bytes',
        'opened_at',
        'reception_bytes',
        'refuse',
    )

    def __init__(
        self,
        *,
        opened_at: float,
        header_bytes: int,
        reception_bytes: int,
        refuse: RefuseCallback,
        close: Callable[['RequestUsage'], None],
    ) -> None:
        self._close = close
        self._owners = 1
        self.body_bytes = 0
        self.body_since: float | None = None
        self.header_bytes = header_bytes
        self.opened_at = opened_at
        self.reception_bytes = reception_bytes
        self.refuse = refuse

    @property
    def held_bytes(self) -> int:
        """The bytes that the host keeps."""
        return self.header_bytes + self.body_bytes + self.reception_bytes

    def retain(self) -> None:
        """Add an owner that may keep the request longer than the others."""
        self._owners += 1

    def release(self) -> None:
        """Remove an owner."""
        self._owners -= 1
        if not self._owners:
            self._close(self)
