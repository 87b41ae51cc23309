"""Interface of the peer network for other modules."""

from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from balsamrail.messages import Message

MessageT = TypeVar('MessageT', bound=Message)


class Network(Protocol):
    """Sends messages to other hosts and dispatches received ones.

    Delivery is best effort: messages may be lost, duplicated or delayed. Tests use an in-memory
    implementation.
    """

    async def send(self, host: str, message: Message) -> bool:
        """Send a message to one host, over a new stream if there is none.

        Return whether the message was written to a stream, which does not confirm its delivery.
        """

    def flood(
        self, message: Message, *, topic: str, version: tuple[int | float | str, ...]
    ) -> None:
        """Send a message to all hosts.

        Each host forwards it only if ``version`` is higher than the last one of that ``topic``.
        """

    def subscribe(
        self,
        kind: type[MessageT],
        receive: Callable[[str, MessageT], None],
    ) -> None:
        """Call ``receive`` with the sending host and each received message of ``kind``."""

    def repeat_to_peers(self, messages: Callable[[], Iterable[Message]]) -> None:
        """Send the result of ``messages`` to each peer that connects.

        A flood reaches the hosts that run and are connected at that time. What others need to know
        of it later has to be among these messages.
        """
