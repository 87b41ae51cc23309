"""Requests of one customer that wait for a token."""

import asyncio
from collections import deque


class WaitingRequests:
    """Gives tokens to urgent requests first, and else in the order of arrival."""

    __slots__ = ('_others', '_urgent')

    def __init__(self) -> None:
        self._urgent: deque[asyncio.Future[float]] = deque()
        self._others: deque[asyncio.Future[float]] = deque()

    def __len__(self) -> int:
        return self.urgent_count() + _open_count(self._others)

    def add(self, *, is_urgent: bool) -> asyncio.Future[float]:
        """Return the future that gets the expiry of the request's token."""
        waiter: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        (self._urgent if is_urgent else self._others).append(waiter)
        return waiter

    def urgent_count(self) -> int:
        """Return the number of urgent requests that wait."""
        return _open_count(self._urgent)

    def resolve_next(self, expires_at: float) -> bool:
        """Give a token to the request that is next; return whether there was one."""
        for waiters in (self._urgent, self._others):
            while waiters:
                waiter = waiters.popleft()
                if not waiter.done():
                    waiter.set_result(expires_at)
                    return True
        return False

    def resolve_all(self, expires_at: float) -> None:
        """Give all requests the same answer."""
        count = len(self)
        for _ in range(count):
            self.resolve_next(expires_at)


def _open_count(waiters: deque[asyncio.Future[float]]) -> int:
    return sum(not waiter.done() for waiter in waiters)
