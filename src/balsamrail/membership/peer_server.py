"""TCP server for peer streams."""

from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from balsamrail.environment import Environment
from balsamrail.membership.peer_stream import PeerStream, stream_limits
from balsamrail.membership.stream import Stream


class PeerServer(TCPServer):
    """Passes each accepted stream to ``accept`` and awaits its end.

    It is used like any Tornado server::

        server = PeerServer(environment=environment, accept=network.accept)
        server.listen(port, address=number)
    """

    def __init__(
        self,
        *,
        environment: Environment,
        accept: Callable[[Stream], Awaitable[None]],
    ) -> None:
        limits = stream_limits()
        super().__init__(
            max_buffer_size=limits['max_buffer_size'],
            read_chunk_size=limits['read_chunk_size'],
        )
        self._environment = environment
        self._accept = accept

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Set the write limit of the stream and serve it."""
        # TCPServer has no argument for the limit of the write buffer.
        stream.max_write_buffer_size = stream_limits()['max_write_buffer_size']
        await self._accept(PeerStream(environment=self._environment, stream=stream))
