"""HTTP server for pages whose callers nobody controls."""

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream

from balsamrail.exchange.connection_limiter import ConnectionLimiter


class PageHttpServer(HTTPServer):
    """Serves pages over a limited number of connections."""

    def initialize(  # type: ignore[override]
        self, *args: Any, connections: ConnectionLimiter, **kwargs: Any
    ) -> None:
        """Configure the server; Tornado's servers have no constructor of their own."""
        super().initialize(*args, **kwargs)
        self._limiter = connections

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve an accepted connection."""
        self._limiter.add(stream)
        if not stream.closed():
            super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of the next request of a connection."""
        self._limiter.note_waiting(request_conn.stream)  # type: ignore[attr-defined]
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Remove a connection that has ended."""
        super().on_close(server_conn)
        self._limiter.remove(server_conn.stream)  # type: ignore[attr-defined]
