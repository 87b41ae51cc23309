"""Listening sockets of an entry host."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.entry.caller_http_server import CallerHttpServer
from balsamrail.entry.page_http_server import PageHttpServer
from balsamrail.environment import Environment
from balsamrail.exchange.connection_limiter import ConnectionLimiter
from balsamrail.exchange.descriptor_limits import DescriptorLimits
from balsamrail.exchange.header_timeouts import HeaderTimeouts
from balsamrail.membership import PeerServer
from balsamrail.membership.stream import Stream
from balsamrail.platform.caller_server import CallerServer
from balsamrail.process.page_server import PageServer
from balsamrail.settings.address import split_address

_BACKLOG = 1_024
# Headers above this size close the connection; headers between the configured limit and this size
# get an error response.
_MAX_HEADER_BYTES = 65_536
# Tornado keeps one such part of a body beside those that the host keeps, for each connection.
_CHUNK_BYTES = 16_384
# A caller that takes longer to send a body is no longer waiting for the response.
_BODY_TIMEOUT_S = 60
# Requests for pages consist of a line and a few fields.
_MAX_PAGE_HEADER_BYTES = 8_192
_PAGE_IDLE_TIMEOUT_S = 15


class Listeners:
    """Opens the listeners for callers, lookups, peers and operators.

    :param lookups: serves readiness checks and lookups.
    :param operators: serves the operator pages.
    :param accept_peer: serves the peer streams that other hosts open.
    """

    __slots__ = (
        '_callers',
        '_environment',
        '_header_timeouts',
        '_limits',
        '_lookups',
        '_operators',
        '_page_connections',
        '_peers',
        '_servers',
    )

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
            chunk_size=_CHUNK_BYTES,
        )
        self._header_timeouts = HeaderTimeouts(
            clock=environment.clock, refusals=environment.caller_refusals
        )
        self._limits = DescriptorLimits.of(environment.settings)
        self._page_connections = ConnectionLimiter(
            limit=self._limits.pages,
            refusals=environment.caller_refusals,
            is_handling=lambda _: False,
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
                self._listen(self._page_server(self._lookups), address)
        self._listen(self._page_server(self._operators), settings.operator_address)
        self._listen(self._peers, settings.peer_address)

    def close_slow(self, *, header_timeout_s: float) -> None:
        """Close the connections of callers that are too slow to send a header."""
        streams: Any = self._callers.connections
        self._header_timeouts.check(streams, limit_s=header_timeout_s)

    def set_idle_timeout(self, idle_s: float) -> None:
        """Set the idle timeout of callers' connections, including the open ones."""
        self._callers.conn_params.header_timeout = idle_s

    def close(self) -> None:
        """Stop accepting connections."""
        for server in self._servers:
            server.stop()

    def open_connections(self) -> dict[str, int]:
        """Return the number of callers' connections by what they are for."""
        return {'callers': len(self._callers.connections), 'pages': len(self._page_connections)}

    def _page_server(self, pages: PageServer) -> PageHttpServer:
        delegate: Any = pages
        return PageHttpServer(
            delegate,
            connections=self._page_connections,
            idle_connection_timeout=_PAGE_IDLE_TIMEOUT_S,
            max_header_size=_MAX_PAGE_HEADER_BYTES,
            chunk_size=_CHUNK_BYTES,
        )

    def _listen(self, server: TCPServer, address: str) -> None:
        ip_address, port = split_address(address)
        listeners = bind_sockets(port, address=ip_address, backlog=_BACKLOG)
        if server is not self._peers:
            # Accepted connections have the buffer of their listener. Otherwise it grows to several
            # MB for a caller that sends faster than its requests are handled.
            size = self._limits.receive_buffer_bytes
            for listener in listeners:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        server.add_sockets(listeners)
        self._servers.append(server)
