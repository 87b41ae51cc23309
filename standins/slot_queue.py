"""Slots of an upstream with a small queue before them."""

import asyncio
from collections import deque


class SlotQueue:
    """Hands out slots in the order of arrival."""

    __slots__ = ('_waiting', 'running')

    def __init__(self) -> None:
        self.running = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def take(self, *, slots: int, queue: int, wait_s: float | None) -> bool:
        """Take a slot; return whether there was one within ``wait_s`` seconds."""
        if self.running < slots:
            self.running += 1
            return True
        if len(self._waiting) >= queue:
            return False
        turn = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            async with asyncio.timeout(wait_s):
                await turn
        except TimeoutError:
            self._leave(turn)
            return False
        except asyncio.CancelledError:
            self._leave(turn)
            raise
        return True

    def release(self) -> None:
        """Give a slot back."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def _leave(self, turn: asyncio.Future[None]) -> None:
        if turn in self._waiting:
            self._waiting.remove(turn)
        if turn.done() and not turn.cancelled():
            self.release()
