"""TCP server for peer streams and for requests of other hosts."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

from tornado.iostream import IOStream
from tornado.tcpserver import TCPServer

from balsamrail.environment import Environment
from balsamrail.membership.peer_stream import PeerStream, stream_limits
from balsamrail.membership.stream import Stream

# How long a new connection may send nothing.
_FIRST_BYTE_TIMEOUT_S = 1.5


class PeerServer(TCPServer):
    """Passes each accepted stream to ``accept`` and awaits its end.

    A connection that begins like an HTTP request, with a letter, is passed to ``accept_http`` instead:
    messages between hosts begin with a msgpack array, whose first byte is no ASCII character. The
    server is used like any Tornado server::

        server = PeerServer(environment=environment, accept=network.accept)
        server.listen(port, address=number)

    :param accept_http: serves a connection that carries HTTP; ``None`` if there are none.
    """

    def __init__(
        self,
        *,
        environment: Environment,
        accept: Callable[[Stream], Awaitable[None]],
        accept_http: Callable[[IOStream, tuple[str, int]], None] | None = None,
    ) -> None:
        limits = stream_limits()
        super().__init__(
            max_buffer_size=limits['max_buffer_size'],
            read_chunk_size=limits['read_chunk_size'],
        )
        self._environment = environment
        self._accept = accept
        self._accept_http = accept_http

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a stream by its first byte."""
        if self._accept_http is not None and await _begins_with_letter(stream.socket):
            self._accept_http(stream, address)
            return
        # TCPServer has no argument for the limit of the write buffer.
        stream.max_write_buffer_size = stream_limits()['max_write_buffer_size']
        await self._accept(PeerStream(environment=self._environment, stream=stream))


async def _begins_with_letter(sock: socket.socket) -> bool:
    """Return whether the first byte is an ASCII letter, without consuming it."""
    loop = asyncio.get_running_loop()
    is_readable = asyncio.Event()
    loop.add_reader(sock, is_readable.set)
    try:
        async with asyncio.timeout(_FIRST_BYTE_TIMEOUT_S):
            await is_readable.wait()
        first = sock.recv(1, socket.MSG_PEEK)
    except (TimeoutError, OSError):
        # The stream finds the error or the silence itself.
        return False
    finally:
        loop.remove_reader(sock)
    return first.isascii() and first.isalpha()
