"""Lifecycle of one host: listeners, background tasks and graceful shutdown."""

import asyncio
import signal
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.tcpserver import TCPServer

from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError
from balsamrail.forwarding import http_server_options
from balsamrail.host import CallerApplication, GracefulShutdown, Parts
from balsamrail.membership import PeerServer
from balsamrail.process.operator_pages import operator_pages
from balsamrail.process.page_server import PageServer
from balsamrail.process.supervisor import Supervisor
from balsamrail.settings.address import split_address

_LISTEN_BACKLOG = 1_024
_READY_POLL_INTERVAL_S = 0.05


class Node:
    """Runs the components of one host.

    A node serves callers, peers and operators until :meth:`stop` or SIGTERM, then shuts down
    gracefully::

        node = Node(environment=environment, parts=parts)
        node.install_signal_handlers()
        await node.run()
    """

    __slots__ = (
        '_callers',
        '_environment',
        '_parts',
        '_servers',
        '_state',
        '_stopping',
        '_supervisor',
    )

    def __init__(self, *, environment: Environment, parts: Parts) -> None:
        self._environment = environment
        self._parts = parts
        self._callers = CallerApplication(rules=parts.caller_rules, ready=parts.record_sync.ready)
        self._servers: list[TCPServer] = []
        self._supervisor = Supervisor(environment=environment)
        self._stopping = asyncio.Event()
        self._state = 'starting'

    def stop(self) -> None:
        """Start the graceful shutdown; further calls have no effect."""
        self._stopping.set()

    def install_signal_handlers(self) -> None:
        """Start the graceful shutdown on SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)

    async def run(self) -> int:
        """Serve until stopped and return the number of interrupted requests, normally 0.

        :raises OSError: if a listener cannot be started.
        """
        settings = self._environment.settings
        try:
            self._start_listener(
                self._http_server(self._operator_application()), settings.operator_address
            )
            peers = PeerServer(environment=self._environment, accept=self._parts.network.accept)
            self._start_listener(peers, settings.peer_address)
            self._start_listener(self._http_server(self._callers), settings.caller_address)
            for name, part in self._parts.named_parts():
                if hasattr(part, 'run'):
                    self._supervisor.start(name, part.run)
            self._supervisor.start('readiness', self._announce_when_ready)
            self._state = 'serving'
            self._environment.log.event('node_started', incarnation=self._environment.incarnation)
            await self._stopping.wait()
            self._state = 'leaving'
            self._callers.is_draining = True
            return await self._shut_down()
        finally:
            await self._close()

    def dump(self) -> dict[str, Any]:
        """Return the state of every component as JSON-compatible data."""
        parts = {
            name: part.dump() for name, part in self._parts.named_parts() if hasattr(part, 'dump')
        }
        own = {
            'state': self._state,
            'in_flight': self._in_flight(),
            'tasks': self._supervisor.dump(),
            'incarnation': self._environment.incarnation,
            'host': self._environment.settings.host,
        }
        return {'node': own, 'metrics': self._environment.metrics.dump(), **parts}

    def status(self) -> dict[str, Any]:
        """Return the summary shown by ``balsamrail status``."""
        try:
            services = sorted(self._parts.tracker.accepted().services)
        except NotReadyError:
            services = []
        return {
            'host': self._environment.settings.host,
            'availability_zone': self._environment.settings.availability_zone,
            'state': self._state,
            'ready': self._parts.record_sync.ready(),
            'record_number': self._parts.tracker.number,
            'services': services,
            'in_flight': self._in_flight(),
        }

    async def _announce_when_ready(self) -> None:
        while not self._parts.record_sync.ready():  # noqa: ASYNC110 - readiness is reached only once
            await asyncio.sleep(_READY_POLL_INTERVAL_S)
        self._parts.members.announce_ready()
        await self._stopping.wait()

    async def _shut_down(self) -> int:
        stop = GracefulShutdown(
            environment=self._environment,
            parts=self._parts,
            in_flight=self._in_flight,
        )
        return await stop.run()

    def _in_flight(self) -> int:
        return max(self._callers.in_flight, self._parts.forwarder.in_flight())

    def _operator_application(self) -> PageServer:
        return operator_pages(
            dump=self.dump, status=self.status, metrics=self._environment.metrics.page
        )

    def _http_server(self, application: CallerApplication | PageServer) -> HTTPServer:
        return HTTPServer(application, **http_server_options(self._environment.settings.limits))

    def _start_listener(self, server: TCPServer, address: str) -> None:
        number, port = split_address(address)
        server.listen(port, address=number, backlog=_LISTEN_BACKLOG)
        self._servers.append(server)

    async def _close(self) -> None:
        for server in self._servers:
            server.stop()
        await self._supervisor.stop()
        for server in self._servers:
            if isinstance(server, HTTPServer):
                await server.close_all_connections()
        self._environment.log.event('node_stopped')
