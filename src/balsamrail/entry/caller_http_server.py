"""HTTP server for callers that send several requests without waiting for responses."""

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

from balsamrail.environment import Environment
from balsamrail.exchange.caller_stream import CallerStream
from balsamrail.exchange.connection_limiter import ConnectionLimiter
from balsamrail.exchange.descriptor_limits import DescriptorLimits

# Tornado's limit for the connections of callers.
_MAX_BUFFER_BYTES = 104_857_600


class CallerHttpServer(HTTPServer):
    """Serves each connection over a :class:`CallerStream`.

    Requests on one connection are handled one after the other, and responses are sent in the
    order of the requests. Requests behind a response that closes the connection are not read.
    The number of connections is limited, except those of other hosts.
    """

    def initialize(  # type: ignore[override]
        self, *args: Any, environment: Environment, **kwargs: Any
    ) -> None:
        """Configure the server; Tornado's servers have no constructor of their own."""
        super().initialize(*args, **kwargs)
        self._environment = environment
        self.connections = ConnectionLimiter(
            limit=DescriptorLimits.of(environment.settings).callers,
            refusals=environment.caller_refusals,
            is_handling=CallerStream.is_handling,  # type: ignore[arg-type]
        )

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve an accepted connection."""
        caller_stream = CallerStream.replace(stream, environment=self._environment)
        self.connections.add(caller_stream)
        if not caller_stream.closed():
            super().handle_stream(caller_stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request of a connection."""
        self.connections.note_waiting(request_conn.stream)  # type: ignore[attr-defined]
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection that has ended."""
        super().on_close(server_conn)
        self.connections.remove(server_conn.stream)  # type: ignore[attr-defined]

    def handle_peer_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection of another host, which carries requests of its callers."""
        stream.max_buffer_size = _MAX_BUFFER_BYTES
        peer_stream = CallerStream.replace(stream, environment=self._environment)
        peer_stream.is_from_peer = True
        HTTPServer.handle_stream(self, peer_stream, address)
