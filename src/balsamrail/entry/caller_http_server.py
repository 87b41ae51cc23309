"""HTTP server for callers that send several requests without waiting for responses."""

from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from balsamrail.environment import Environment
from balsamrail.exchange.caller_stream import CallerStream


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
