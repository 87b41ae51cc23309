"""Transport over TCP."""

import socket

from tornado.iostream import IOStream, StreamClosedError

from balsamrail.environment import Environment
from balsamrail.errors import PeerError
from balsamrail.membership.peer_stream import PeerStream, stream_limits
from balsamrail.membership.stream import Stream
from balsamrail.settings.address import split_address


class TcpTransport:
    """Connects to peers by IP address. The caller has to apply a timeout."""

    __slots__ = ('_environment',)

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment

    async def open(self, address: str) -> Stream:
        """Connect to a peer; see :class:`~balsamrail.membership.transport.Transport`."""
        try:
            number, port = split_address(address)
        except ValueError as error:
            raise PeerError(f'{address} is not a peer address') from error
        family = socket.AF_INET6 if ':' in number else socket.AF_INET
        stream = IOStream(socket.socket(family), **stream_limits())
        try:
            await stream.connect((number, port))
        except (OSError, StreamClosedError) as error:
            raise PeerError(f'{address} cannot be reached') from error
        except BaseException:
            # A timeout of the caller cancels the connection attempt; close the socket then as well.
            stream.close()
            raise
        return PeerStream(environment=self._environment, stream=stream)
