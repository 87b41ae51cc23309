"""Interface of a stream of messages between two hosts."""

from collections.abc import Sequence
from typing import Protocol

from balsamrail.messages import Message


class Stream(Protocol):
    """A connection to a peer. Tests use an in-memory implementation."""

    async def read(self) -> Sequence[Message]:
        """Return the next messages, none at the end of the stream.

        :raises balsamrail.errors.PeerError: if the bytes are not messages.
        """

    def write(self, message: Message) -> bool:
        """Queue a message and return whether the stream accepted it."""

    def close(self) -> None:
        """Close the stream immediately; idempotent."""
