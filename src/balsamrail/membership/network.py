"""What the other modules use of the peer streams."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from balsamrail.messages import Message

MessageT = TypeVar('MessageT', bound=Message)


class Network(Protocol):
    """Sends messages to other hosts and hands over those that arrive.

    Nothing is guaranteed: a message may be lost, doubled or late. Tests put an in-memory
    network in its place.
    """

    async def send(self, host: str, message: Message) -> bool:
        """Send to one host, over a new stream if need be.

        Return whether the message was written to a stream, which does not mean that it arrived.
        """

    def flood(
        self, message: Message, *, topic: str, version: tuple[int | float | str, ...]
    ) -> None:
        """Pass a message to all hosts.

        Each host passes it on once for each ``topic`` and only if ``version`` is higher than
        the last one of that topic.
        """

    def subscribe(
        self,
        kind: type[MessageT],
        receive: Callable[[str, MessageT], None],
    ) -> None:
        """Call ``receive`` with the sending host and each message of ``kind`` that arrives."""
