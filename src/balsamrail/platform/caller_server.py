"""Server side of the platform's HTTP protocol for callers."""

from typing import Protocol

from tornado import httputil

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.environment import Environment
from balsamrail.exchange.caller_stream import CallerStream
from balsamrail.platform.caller_exchange import CallerExchange


class RequestHandler(Protocol):
    """Handles complete requests."""

    def check_headers(self, request: EntryRequest) -> None:
        """Reject a request whose body has not been received, if that need not be received.

        :raises RequestError: if the request is rejected.
        """

    async def handle(self, request: EntryRequest) -> HttpResponse:
        """Return the complete answer to a request.

        :raises RequestError: if the request fails.
        """

    def idempotent_timeout_s(self, request: EntryRequest) -> float | None:
        """Return how long a request may run, ``None`` if it is not known to be idempotent."""


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Receives callers' requests from a :class:`tornado.httpserver.HTTPServer`.

    :param handler: handles each complete request.
    """

    def __init__(self, *, environment: Environment, handler: RequestHandler) -> None:
        self.environment = environment
        self.handler = handler
        self.limits = CallerLimits()
        self.is_leaving = False
        self.in_flight = 0
        self.last_request_at = environment.clock.monotonic()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate that receives one request."""
        stream: CallerStream = request_conn.stream  # type: ignore[attr-defined]
        return CallerExchange(server=self, connection=request_conn, stream=stream)
