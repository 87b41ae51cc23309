"""A keep-alive connection to an upstream."""

import asyncio

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import RequestStartLine

from balsamrail.environment import Environment
from balsamrail.errors import ConnectError
from balsamrail.exchange.response import Response
from balsamrail.exchange.stream_errors import STREAM_ERRORS, underlying_error
from balsamrail.exchange.upstream_stream import UpstreamStream
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.response_collector import ResponseCollector
from balsamrail.forwarding.upstream_request import UpstreamRequest

_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
# A small body is sent in one segment with the headers; a larger one is not copied for that.
_MAX_COALESCED_BODY_BYTES = 16_384


class UpstreamConnection:
    """A connection that carries sequential requests.

    It is closed after each exchange without a complete response, so that a late response cannot
    be taken for that of the next request.
    """

    __slots__ = ('_environment', '_stream', 'address', 'last_used', 'opened_at', 'used')

    def __init__(self, *, environment: Environment, address: str) -> None:
        limits = environment.settings.limits
        self._environment = environment
        self._stream = UpstreamStream.create(
            address=address,
            user_timeout_s=limits.user_timeout_s,
            buffer_bytes=limits.body_bytes + limits.header_bytes,
        )
        self.address = address
        self.opened_at = environment.clock.monotonic()
        self.last_used = self.opened_at
        self.used = False

    async def connect(self, *, deadline: float) -> None:
        """Open the connection.

        :param deadline: event loop time in seconds at which connecting times out.
        :raises AttemptError: if the connection is refused or times out.
        """
        try:
            await self._stream.open(address=self.address, deadline=deadline)
        except ConnectError as error:
            raise AttemptError(
                detail=error.detail, may_have_run=False, timed_out=error.has_timed_out
            ) from error

    def is_usable(self) -> bool:
        """Return whether the connection may carry another request."""
        limits = self._environment.settings.limits
        now = self._environment.clock.monotonic()
        if now - self.opened_at >= limits.connection_age_s:
            return False
        if now - self.last_used >= limits.connection_idle_s:
            return False
        return self._stream.is_idle()

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._stream.closed()

    def close(self) -> None:
        """Close the connection, which cancels the request in flight."""
        self._stream.close()

    async def exchange(self, upstream_request: UpstreamRequest, *, deadline: float) -> Response:
        """Send a request and return its complete response.

        :param deadline: event loop time in seconds at which the request times out.
        :raises AttemptError: if no complete response arrived.
        """
        reused, self.used = self.used, True
        collector = ResponseCollector(method=upstream_request.method)
        self._stream.begin_response(self._environment)
        try:
            response = await self._exchange(upstream_request, collector, deadline)
        except TimeoutError:
            self.close()
            raise AttemptError(
                detail='no complete response within the deadline',
                may_have_run=True,
                reused=reused,
                timed_out=True,
            )
        except STREAM_ERRORS as error:
            self.close()
            raise AttemptError(
                detail=f'{underlying_error(error)}', may_have_run=True, reused=reused
            )
        except BaseException:
            self.close()
            raise
        finally:
            self._stream.end_response()
        if response is None:
            self.close()
            raise AttemptError(
                detail='the response is malformed', may_have_run=True, reused=reused
            )
        if upstream_request.expected_request_id is not None:
            self._check_request_id(upstream_request.expected_request_id, response, reused=reused)
        self.last_used = self._environment.clock.monotonic()
        if not collector.is_keep_alive() or not self._stream.is_idle():
            self.close()
        return response

    async def _exchange(
        self,
        upstream_request: UpstreamRequest,
        collector: ResponseCollector,
        deadline: float,
    ) -> Response | None:
        limits = self._environment.settings.limits
        parameters = HTTP1ConnectionParameters(
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
        )
        connection = HTTP1Connection(self._stream, True, parameters)
        try:
            async with asyncio.timeout_at(deadline):
                _write(connection, upstream_request)
                await connection.read_response(collector)
            return collector.response()
        finally:
            collector.release_body()

    def _check_request_id(self, request_id: str, response: Response, *, reused: bool) -> None:
        if response.headers.get('Request-Id') == request_id:
            return
        self.close()
        self._environment.metrics.count('crossed_answers')
        self._environment.log.event('crossed_answer', target=self.address)
        raise AttemptError(
            detail='the response belongs to another request',
            may_have_run=True,
            reused=reused,
        )


def _write(connection: HTTP1Connection, upstream_request: UpstreamRequest) -> None:
    start_line = RequestStartLine(upstream_request.method, upstream_request.path, 'HTTP/1.1')
    body = upstream_request.body
    if body or upstream_request.method in _METHODS_WITH_BODY:
        upstream_request.headers['Content-Length'] = str(len(body))
    if len(body) <= _MAX_COALESCED_BODY_BYTES:
        connection.write_headers(start_line, upstream_request.headers, body or None)
    else:
        connection.write_headers(start_line, upstream_request.headers)
        connection.write(body)
    connection.finish()
