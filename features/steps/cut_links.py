"""Links from hosts to targets in one process that can be cut, each by itself."""

import asyncio
import contextlib

from delivery_parts import simulate_power_loss
from free_ports import free_address

from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.errors import ConnectError, ExchangeError


class _Listener:
    """What :func:`simulate_power_loss` needs of a target."""

    def __init__(self):
        self.address = free_address()

    def stop(self):
        """Do nothing; the address was never listened on."""


class _Link:
    """A forwarder from one host to one target."""

    def __init__(self, target):
        self._target = target
        self._writers = set()
        self._open = asyncio.Event()
        self._open.set()
        self.mode = 'pass'

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = f'127.0.0.1:{self._server.sockets[0].getsockname()[1]}'
        return self

    def set_mode(self, mode):
        self.mode = mode
        if mode in {'reset', 'refuse'}:
            for writer in list(self._writers):
                writer.transport.abort()
        if mode == 'hang':
            self._open.clear()
        else:
            # What a silent cut has held up arrives when it ends.
            self._open.set()

    def stop(self):
        self.set_mode('reset')
        self._server.close()

    async def _serve(self, reader, writer):
        if self.mode == 'reset':
            writer.transport.abort()
            return
        number, _, port = self._target.rpartition(':')
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(number, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, upstream_writer)
        self._writers.update(pair)
        try:
            await asyncio.gather(
                self._pipe(reader, upstream_writer), self._pipe(upstream_reader, writer)
            )
        except OSError:
            pass
        finally:
            self._writers.difference_update(pair)
            for one in pair:
                one.transport.abort()

    async def _pipe(self, reader, writer):
        while chunk := await reader.read(65_536):
            await self._open.wait()
            writer.write(chunk)
            await writer.drain()
        await self._open.wait()
        writer.close()


class CutLinks:
    """Puts a forwarder between each host and each target, and cuts the links of some hosts.

    A cut either lets connections hang, refuses or resets them, or lets the open ones live on while
    new ones are refused.
    """

    def __init__(self, *, addresses):
        self._addresses = set(addresses)
        self._links = {}
        self._modes = {}
        self._connect = HttpConnection.connect

    @contextlib.contextmanager
    def installed(self):
        closed = _Listener().address
        silent = _Listener()

        async def connect(connection, *, deadline):
            host = connection._environment.settings.host
            if connection.address not in self._addresses:
                await self._connect(connection, deadline=deadline)
                return
            link = await self._link(host, connection.address)
            address = {
                'refuse': closed,
                'live on': closed,
                'hang': silent.address,
            }.get(link.mode, link.address)
            try:
                await connection._stream.open(address=address, deadline=deadline)
            except ConnectError as error:
                raise ExchangeError(
                    detail=error.detail, may_have_run=False, has_timed_out=error.has_timed_out
                ) from error

        with simulate_power_loss(silent):
            HttpConnection.connect = connect
            try:
                yield self
            finally:
                HttpConnection.connect = self._connect
                for link in self._links.values():
                    link.stop()

    def cut(self, hosts, mode, *, addresses=None):
        """Cut hosts off, from all targets or from those at some addresses."""
        for host in hosts:
            for address in addresses or self._addresses:
                self._modes[host, address] = mode
        for key, link in self._links.items():
            if key in self._modes:
                link.set_mode(self._modes[key])

    def heal(self):
        for key in self._modes:
            if key in self._links:
                self._links[key].set_mode('pass')
        self._modes.clear()

    async def _link(self, host, address):
        link = self._links.get((host, address))
        if link is None:
            started = await _Link(address).start()
            link = self._links.setdefault((host, address), started)
            if link is not started:
                started.stop()
            link.set_mode(self._modes.get((host, address), 'pass'))
        return link
