"""Concurrency slots of an upstream with a bounded wait queue."""

import asyncio
from collections import deque


class SlotQueue:
    """Assigns slots in FIFO order."""

    __slots__ = ('_waiting', 'running')

    def __init__(self) -> None:
        self.running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def acquire(self, *, slots: int, queue: int, wait_s: float | None) -> bool:
        """Acquire a slot; return whether one became free within ``wait_s`` seconds."""
        if self.running < slots:
            self.running += 1
            return True
        if len(self._waiting) >= queue:
            return False
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(wait_s):
                await waiter
        except TimeoutError:
            self._cancel_wait(waiter)
            return False
        except asyncio.CancelledError:
            self._cancel_wait(waiter)
            raise
        return True

    def release(self) -> None:
        """Release a slot, or pass it to the next waiter."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1

    def _cancel_wait(self, waiter: asyncio.Future[None]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        if waiter.done() and not waiter.cancelled():
            self.release()
