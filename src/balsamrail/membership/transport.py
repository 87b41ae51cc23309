"""Interface for opening streams to other hosts."""

from typing import Protocol

from balsamrail.membership.stream import Stream


class Transport(Protocol):
    """Abstracts the peer code from sockets."""

    async def open(self, address: str) -> Stream:
        """Open a new stream to the peer address.

        :raises balsamrail.errors.PeerError: if the peer cannot be reached.
        """
