"""HTTP server for callers that send several requests without waiting for responses."""

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from balsamrail.environment import Environment
from balsamrail.exchange.caller_stream import CallerStream

# Tornado's limit for the connections of callers.
_MAX_BUFFER_BYTES = 104_857_600


class CallerHttpServer(HTTPServer):
    """Serves each connection over a :class:`CallerStream`.

    Requests on one connection are handled one after the other, and responses are sent in the
    order of the requests. Requests behind a response that closes the connection are not read.
    """

    def initialize(  # type: ignore[override]
        self, *args: Any, environment: Environment, **kwargs: Any
    ) -> None:
        """Configure the server; Tornado's servers have no constructor of their own."""
        super().initialize(*args, **kwargs)
        self._environment = environment

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve an accepted connection."""
        super().handle_stream(CallerStream.replace(stream, environment=self._environment), address)

    def handle_peer_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a connection of another host, which carries requests of its callers."""
        stream.max_buffer_size = _MAX_BUFFER_BYTES
        peer_stream = CallerStream.replace(stream, environment=self._environment)
        peer_stream.is_from_peer = True
        HTTPServer.handle_stream(self, peer_stream, address)
