"""Messages that a receiver answers with."""

import asyncio
import contextlib
from collections import deque

from balsamrail.membership.network import Network
from balsamrail.messages import Message

_MOST_MESSAGES = 1_000


class Outbox:
    """Keeps answers until a task sends them, since receivers can't wait for the network.

    The oldest is dropped when more than a thousand wait.
    """

    __slots__ = ('_messages', '_network', '_posted')

    def __init__(self, *, network: Network) -> None:
        self._network = network
        self._messages: deque[tuple[str, Message]] = deque(maxlen=_MOST_MESSAGES)
        self._posted = asyncio.Event()

    def post(self, host: str, message: Message) -> None:
        """Keep a message for ``host`` and wake the task that waits."""
        self._messages.append((host, message))
        self._posted.set()

    def wake(self) -> None:
        """Wake the task that waits, although there may be no message."""
        self._posted.set()

    async def wait(self, limit_s: float) -> None:
        """Wait for a message or a wake-up, at most ``limit_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._posted.wait()

    async def flush(self) -> None:
        """Send all messages."""
        self._posted.clear()
        while self._messages:
            host, message = self._messages.popleft()
            await self._network.send(host, message)
