"""Listening sockets of an entry host."""

from collections.abc import Awaitable, Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.tcpserver import TCPServer

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.entry.caller_http_server import CallerHttpServer
from balsamrail.environment import Environment
from balsamrail.membership import PeerServer
from balsamrail.membership.stream import Stream
from balsamrail.platform.caller_server import CallerServer
from balsamrail.process.page_server import PageServer
from balsamrail.settings.address import split_address

_BACKLOG = 1_024
# Headers above this size close the connection; headers between the configured limit and this size
# get an error response.
_MAX_HEADER_BYTES = 65_536
# A caller that takes longer to send a body is no longer waiting for the response.
_BODY_TIMEOUT_S = 60


class Listeners:
    """Opens the listeners for callers, lookups, peers and operators.

    :param lookups: serves readiness checks and lookups.
    :param operators: serves the operator pages.
    :param accept_peer: serves the peer streams that other hosts open.
    """

    __slots__ = ('_callers', '_environment', '_lookups', '_operators', '_peers', '_servers')

    def __init__(
        self,
        *,
        environment: Environment,
        callers: CallerServer,
        lookups: PageServer,
        operators: PageServer,
        accept_peer: Callable[[Stream], Awaitable[None]],
    ) -> None:
        self._environment = environment
        delegate: Any = callers
        self._callers = CallerHttpServer(
            delegate,
            environment=environment,
            idle_connection_timeout=CallerLimits().idle_timeout_s,
            body_timeout=_BODY_TIMEOUT_S,
            max_header_size=_MAX_HEADER_BYTES,
        )
        self._lookups = lookups
        self._operators = operators
        self._peers = PeerServer(
            environment=environment,
            accept=accept_peer,
            accept_http=self._callers.handle_peer_stream,
        )
        self._servers: list[TCPServer] = []

    def listen(self) -> None:
        """Open all listeners.

        :raises OSError: if listening on an address fails.
        """
        settings = self._environment.settings
        self._listen(self._callers, settings.caller_address)
        for address in {settings.lookup_address, settings.readiness_address}:
            if address is not None:
                self._listen(HTTPServer(self._lookups), address)
        self._listen(HTTPServer(self._operators), settings.operator_address)
        self._listen(self._peers, settings.peer_address)

    def set_idle_timeout(self, idle_s: float) -> None:
        """Set the idle timeout of callers' connections, including the open ones."""
        self._callers.conn_params.header_timeout = idle_s

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.stop()

    def _listen(self, server: TCPServer, address: str) -> None:
        ip_address, port = split_address(address)
        server.listen(port, address=ip_address, backlog=_BACKLOG)
        self._servers.append(server)
