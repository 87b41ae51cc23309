"""A loopback TCP proxy with fault injection."""

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from dataclasses import dataclass, field

from tools.soak.connection_owner import owned_ports

_CHUNK = 65_536
# SO_LINGER with a timeout of 0: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass(slots=True, eq=False)
class _Pipe:
    client: asyncio.StreamWriter
    server: asyncio.StreamWriter | None = None
    # Directions in which all bytes are dropped: 'up' to the server, 'down' from it.
    silent: set[str] = field(default_factory=set)


@dataclass(slots=True, kw_only=True, eq=False)
class FaultProxy:
    """Forwards connections to ``target`` and can delay, reset, silence, cut and refuse them.

    :param target: address of the server.
    :param cut: directions in which bytes of new and open connections are dropped; a single one
        makes a one-way partition.
    :param refused_pids: processes whose new connections are reset, with the number of faults that
        ask for it.
    """

    target: str
    address: str = ''
    delay_s: float = 0.0
    is_refusing: bool = False
    cut: set[str] = field(default_factory=set)
    refused_pids: Counter[int] = field(default_factory=Counter)
    _pipes: set[_Pipe] = field(default_factory=set)
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for pipe in list(self._pipes):
            _close(pipe, is_reset=False)

    def reset(self) -> None:
        """Reset all open connections."""
        for pipe in list(self._pipes):
            _close(pipe, is_reset=True)

    def reset_of(self, pid: int) -> None:
        """Reset the open connections of a process."""
        ports = owned_ports(pid)
        for pipe in list(self._pipes):
            if _client_port(pipe) in ports:
                _close(pipe, is_reset=True)

    def silence(self) -> None:
        """Drop all further bytes on open connections; new connections work."""
        for pipe in self._pipes:
            pipe.silent |= {'up', 'down'}

    def loses(self, writer: asyncio.StreamWriter) -> bool:
        """Return whether bytes that the server writes are dropped on the way to the client."""
        name = writer.get_extra_info('peername')
        silent = [pipe.server for pipe in self._pipes if pipe.server and pipe.silent]
        return any(server.get_extra_info('sockname') == name for server in silent)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        pipe = _Pipe(writer)
        self._pipes.add(pipe)
        try:
            if self.is_refusing or self._is_refused(pipe):
                return
            number, port = self.target.split(':')
            with contextlib.suppress(OSError):
                far_reader, pipe.server = await asyncio.open_connection(number, int(port))
                await asyncio.gather(
                    self._pump(pipe, reader, pipe.server, 'up'),
                    self._pump(pipe, far_reader, writer, 'down'),
                )
        finally:
            self._pipes.discard(pipe)
            _close(pipe, is_reset=pipe.server is None)

    def _is_refused(self, pipe: _Pipe) -> bool:
        port = _client_port(pipe)
        return any(port in owned_ports(pid) for pid, count in self.refused_pids.items() if count)

    async def _pump(
        self,
        pipe: _Pipe,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: str,
    ) -> None:
        is_reset = False
        try:
            while chunk := await reader.read(_CHUNK):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if direction in pipe.silent or direction in self.cut:
                    # A gap in a byte stream cannot be repaired, so all later bytes are dropped.
                    pipe.silent.add(direction)
                    continue
                writer.write(chunk)
                await writer.drain()
        except OSError:
            # A clean end would complete a response without a length.
            is_reset = True
        if direction not in pipe.silent:
            _close(pipe, is_reset=is_reset)


def _client_port(pipe: _Pipe) -> int:
    return int(pipe.client.get_extra_info('peername')[1])


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let a connection end with a reset instead of a clean end when it is closed."""
    raw = writer.get_extra_info('socket')
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def _close(pipe: _Pipe, *, is_reset: bool) -> None:
    for writer in (pipe.client, pipe.server):
        if writer is None or writer.is_closing():
            continue
        if is_reset:
            reset_on_close(writer)
        writer.close()
