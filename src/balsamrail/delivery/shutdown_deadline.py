"""The time by which the requests of a host that is shutting down have to end."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from balsamrail.errors import HostLeavingError, OutcomeUnknownError


class ShutdownDeadline:
    """Admits only requests that end before the process does, and ends the others in time.

    While the host is not shutting down, every request is admitted.
    """

    __slots__ = ('_ends_at', '_limits')

    def __init__(self) -> None:
        self._ends_at: float | None = None
        self._limits: set[asyncio.Timeout] = set()

    def set(self, ends_at: float) -> None:
        """Set the deadline once, for the requests in progress as well.

        :param ends_at: event loop time in seconds.
        """
        self._ends_at = ends_at
        for limit in self._limits:
            limit.reschedule(ends_at)

    @contextlib.asynccontextmanager
    async def applied(self) -> AsyncIterator[None]:
        """Cancel the code in the context at the deadline.

        :raises OutcomeUnknownError: if the deadline has passed.
        """
        try:
            async with asyncio.timeout_at(self._ends_at) as limit:
                self._limits.add(limit)
                try:
                    yield
                finally:
                    self._limits.discard(limit)
        except TimeoutError:
            raise OutcomeUnknownError(detail='the host stopped before the target responded')

    def admits(self, deadline: float) -> bool:
        """Return whether a request with this deadline ends in time.

        :param deadline: event loop time in seconds.
        """
        return self._ends_at is None or deadline <= self._ends_at

    def check(self, deadline: float) -> None:
        """Reject a request that may not end in time.

        :param deadline: event loop time in seconds.
        :raises HostLeavingError: if it may not.
        """
        if not self.admits(deadline):
            # Other hosts serve it at once, so there is nothing to wait for.
            raise HostLeavingError(
                detail='the host may stop before the request ends', retry_after_s=0
            )
