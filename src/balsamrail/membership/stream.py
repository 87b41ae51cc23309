"""A stream of messages between two hosts."""

from collections.abc import Sequence
from typing import Protocol

from balsamrail.messages import Message


class Stream(Protocol):
    """One connection. Tests put an in-memory stream in its place."""

    async def read(self) -> Sequence[Message]:
        """Return the next messages, none at the end of the stream.

        :raises balsamrail.errors.PeerError: if the bytes are not messages.
        """

    def write(self, message: Message) -> bool:
        """Queue a message and tell whether the stream took it."""

    def close(self) -> None:
        """Close the stream at once; closing twice does nothing."""
