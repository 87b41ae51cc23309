"""Queue of outgoing replies."""

import asyncio
import contextlib
from collections import deque

from balsamrail.membership.network import Network
from balsamrail.messages import Message

_MAX_MESSAGES = 1_000


class Outbox:
    """Queues replies until a task sends them, since message handlers cannot await the network.

    When the queue exceeds 1000 messages, the oldest is dropped.
    """

    __slots__ = ('_messages', '_network', '_wake_up')

    def __init__(self, *, network: Network) -> None:
        self._network = network
        self._messages: deque[tuple[str, Message]] = deque(maxlen=_MAX_MESSAGES)
        self._wake_up = asyncio.Event()

    def post(self, host: str, message: Message) -> None:
        """Queue a message for ``host`` and wake the sending task."""
        self._messages.append((host, message))
        self._wake_up.set()

    def wake(self) -> None:
        """Wake the sending task even if no message is queued."""
        self._wake_up.set()

    async def wait(self, limit_s: float) -> None:
        """Wait for a message or a call of :meth:`wake`, at most ``limit_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._wake_up.wait()

    async def flush(self) -> None:
        """Send all queued messages."""
        self._wake_up.clear()
        while self._messages:
            host, message = self._messages.popleft()
            await self._network.send(host, message)
