"""A client connection that carries one request after another."""

import asyncio
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine

from balsamrail.delivery.http_message import HttpRequest, HttpResponse
from balsamrail.delivery.response_reader import ResponseReader
from balsamrail.environment import Environment
from balsamrail.errors import ConnectError, ExchangeError
from balsamrail.exchange.large_body import LargeBody
from balsamrail.exchange.stream_errors import STREAM_ERRORS, underlying_error
from balsamrail.exchange.upstream_stream import UpstreamStream

_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
_MAX_HEADER_BYTES = 65_536
# Limit on discarded responses that belong to other requests, such as late or duplicate ones.
# Without a limit, an endless sequence of such responses would keep the event loop in one exchange
# past every deadline, since reading from a full buffer never yields.
_MAX_DISCARDED_RESPONSES = 8


class HttpConnection:
    """A persistent HTTP/1.1 client connection.

    It closes itself whenever an exchange does not end with a complete response, so that a late
    response can never be taken for the response to the next request.

    :param user_timeout_s: TCP user timeout: the connection fails when sent bytes stay
        unacknowledged for this many seconds.
    :param max_response_bytes: maximum size of a response body.
    """

    __slots__ = (
        '_environment',
        '_max_response_bytes',
        '_stream',
        'address',
        'idle_before_s',
        'last_used',
        'opened_at',
        'server_idle_timeout_s',
        'was_used',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        address: str,
        user_timeout_s: float,
        max_response_bytes: int,
    ) -> None:
        self._environment = environment
        self._max_response_bytes = max_response_bytes
        self._stream = UpstreamStream.create(
            address=address,
            user_timeout_s=user_timeout_s,
            buffer_bytes=max_response_bytes + _MAX_HEADER_BYTES,
            has_keepalive_probes=True,
        )
        self.address = address
        self.opened_at = environment.clock.monotonic()
        self.last_used = self.opened_at
        # The idle time before the latest request.
        self.idle_before_s: float = 0
        self.server_idle_timeout_s: float | None = None
        self.was_used = False

    async def connect(self, *, deadline: float) -> None:
        """Open the connection.

        :param deadline: event loop time in seconds at which the attempt is abandoned.
        :raises ExchangeError: if the connection is refused or not open by the deadline.
        """
        try:
            await self._stream.open(address=self.address, deadline=deadline)
        except ConnectError as error:
            raise ExchangeError(
                detail=error.detail, may_have_run=False, has_timed_out=error.has_timed_out
            ) from error

    def is_idle(self) -> bool:
        """Return whether the connection is open with no pending input or output."""
        return self._stream.is_idle()

    def idle_s(self) -> float:
        """Return the time since the connection was last used, in seconds."""
        return self._environment.clock.monotonic() - self.last_used

    def is_closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the connection, which cancels a request in flight on it."""
        # Without an error, a response without a length would count as complete.
        self._stream.close(exc_info=ConnectionAbortedError('closed by this host'))

    async def exchange(
        self,
        request: HttpRequest,
        *,
        deadline: float,
        matches_request: Callable[[HTTPHeaders, bool], bool] | None = None,
        on_head: Callable[[int, HTTPHeaders, bool], None] | None = None,
    ) -> HttpResponse:
        """Send a request and return its complete response.

        :param deadline: event loop time in seconds at which the request is abandoned.
        :param matches_request: returns whether a response belongs to the request, given its headers
            and whether it is the first one on the connection; other responses are discarded.
        :param on_head: called with the status and the headers of each response, including
            responses that are then discarded or truncated, and whether it is the first one on the
            connection.
        :raises ExchangeError: if no complete response arrived.
        """
        reused, self.was_used = self.was_used, True
        self.idle_before_s = self.idle_s()
        self._stream.begin_response(self._environment)
        try:
            async with asyncio.timeout_at(deadline):
                response = await self._exchange(request, reused, matches_request, on_head)
        except TimeoutError:
            self.close()
            raise ExchangeError(
                detail='no complete response within the deadline',
                may_have_run=True,
                was_reused=reused,
                has_timed_out=True,
            )
        except STREAM_ERRORS as error:
            self.close()
            raise ExchangeError(
                detail=f'{underlying_error(error)!r}', may_have_run=True, was_reused=reused
            )
        except BaseException:
            self.close()
            raise
        finally:
            self._stream.end_response()
        if response is None:
            detail = self._failure_detail()
            self.close()
            raise ExchangeError(detail=detail, may_have_run=True, was_reused=reused)
        self.last_used = self._environment.clock.monotonic()
        self.server_idle_timeout_s = response.keep_alive_timeout_s
        if not response.keep_alive or not self.is_idle():
            self.close()
        return response

    def _failure_detail(self) -> str:
        cause = self._stream.error
        return 'the response is truncated or malformed' if cause is None else f'{cause!r}'

    async def _exchange(
        self,
        request: HttpRequest,
        reused: bool,
        matches_request: Callable[[HTTPHeaders, bool], bool] | None,
        on_head: Callable[[int, HTTPHeaders, bool], None] | None,
    ) -> HttpResponse | None:
        parameters = HTTP1ConnectionParameters(
            max_header_size=_MAX_HEADER_BYTES, max_body_size=self._max_response_bytes
        )
        connection = HTTP1Connection(self._stream, True, parameters)
        _write(connection, request)
        for discarded in range(_MAX_DISCARDED_RESPONSES + 1):
            is_first = not reused and not discarded
            reader = ResponseReader(method=request.method, is_first=is_first, on_head=on_head)
            response = await self._read(connection, reader)
            if response is None:
                return None
            if matches_request is None or matches_request(response.headers, is_first):
                return response
            if not response.keep_alive or self._stream.closed():
                return None
        raise HTTPInputError('too many responses to other requests')

    async def _read(
        self, connection: HTTP1Connection, reader: ResponseReader
    ) -> HttpResponse | None:
        try:
            await connection.read_response(reader)
            if reader.is_close_delimited() and self._stream.error is not None:
                # tornado treats any close of the connection, even a reset, as the end of a response
                # without a length.
                return None
            return reader.response()
        finally:
            reader.release_body()


def _write(connection: HTTP1Connection, request: HttpRequest) -> None:
    body = request.body
    if body or request.method in _METHODS_WITH_BODY:
        request.headers['Content-Length'] = str(len(body))
    start_line = RequestStartLine(request.method, request.path, 'HTTP/1.1')
    if isinstance(body, LargeBody):
        # Tornado copies the part that it writes together with the headers, and no other one.
        connection.write_headers(start_line, request.headers)
        for piece in body.pieces:
            connection.write(piece)
    else:
        connection.write_headers(start_line, request.headers, body or None)
    connection.finish()
