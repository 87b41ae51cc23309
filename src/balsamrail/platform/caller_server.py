"""Server side of the platform's HTTP protocol for callers."""

import asyncio
import math
import re
from http import HTTPStatus
from typing import Protocol
from urllib.parse import unquote

from tornado import httputil
from tornado.iostream import StreamClosedError

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.environment import Environment
from balsamrail.errors import (
    BadRequestError,
    HeadersTooLargeError,
    OutcomeUnknownError,
    RequestError,
    TooLargeError,
)
from balsamrail.exchange.caller_stream import CallerStream
from balsamrail.exchange.hop_headers import end_to_end_headers
from balsamrail.exchange.problem import problem_response
from balsamrail.platform import headers
from balsamrail.platform.headers import HANDOVER
from balsamrail.platform.proxy_protocol import decode_handover, encode_outcome

_MS_IN_S = 1_000
_TIMEOUT_FORMAT = re.compile(r'\d{1,9}(\.\d{1,6})?', re.ASCII)
_CONTENT_LENGTH = frozenset(('content-length',))
_BODYLESS_STATUSES = frozenset((204, 304))
# Bytes of a header line besides its name and value: the colon, the space and the line break.
_HEADER_LINE_OVERHEAD_BYTES = 4


class RequestHandler(Protocol):
    """Handles complete requests."""

    async def handle(self, request: EntryRequest) -> HttpResponse:
        """Return the complete answer to a request.

        :raises RequestError: if the request fails.
        """


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
        if stream.closed() or stream.is_finished:
            # The caller has left, or sends the request again on another connection.
            self.environment.metrics.count('requests_behind_close')
            return httputil.HTTPMessageDelegate()
        return _CallerRequestDelegate(server=self, connection=request_conn, stream=stream)


class _CallerRequestDelegate(httputil.HTTPMessageDelegate):
    """Receives one request and writes its answer."""

    def __init__(
        self,
        *,
        server: CallerServer,
        connection: httputil.HTTPConnection,
        stream: CallerStream,
    ) -> None:
        self._stream = stream
        self._server = server
        self._connection = connection
        self._request: EntryRequest | None = None
        self._chunks: list[bytes] = []
        self._received = 0
        self._is_answered = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check the size limits given in the request line and the headers."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._server.in_flight += 1
        self._request = self._decode_request(start_line, headers)
        self._server.last_request_at = self._server.environment.clock.monotonic()
        limits = self._server.limits
        size = len(start_line.path) + sum(
            len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES
            for name, value in headers.get_all()
            if name != HANDOVER or self._request.handover is None
        )
        if size > limits.header_bytes:
            self._reject(HeadersTooLargeError(detail='the headers exceed the size limit'))
        length = headers.get('Content-Length', '0')
        if not length.isascii() or not length.isdigit():
            self._reject(BadRequestError(detail='Content-Length is not a number'))
        elif int(length) > limits.body_bytes:
            self._reject(TooLargeError(detail='the body exceeds the size limit'))

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        if self._is_answered:
            return
        self._received += len(chunk)
        if self._received > self._server.limits.body_bytes:
            self._reject(TooLargeError(detail='the body exceeds the size limit'))
            return
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Start handling the complete request."""
        request = self._request
        if self._is_answered or request is None:
            return
        request.body = b''.join(self._chunks)
        self._connection.set_close_callback(self._on_caller_disconnect)  # type: ignore[attr-defined]
        self._task = asyncio.create_task(self._handle(request))

    def on_connection_close(self) -> None:
        """Discard a request whose connection closed before it was complete."""
        self._server.in_flight -= 1

    def _on_caller_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _handle(self, request: EntryRequest) -> None:
        failure: RequestError | None = None
        try:
            answer = await self._server.handler.handle(request)
        except RequestError as error:
            failure = error
            answer = self._make_problem(request, error)
        except asyncio.CancelledError:
            self._server.environment.metrics.count('callers_left')
            self._server.in_flight -= 1
            return
        except Exception as error:
            self._server.environment.log.event(
                'request_crashed', request=request.request_id, error=repr(error)
            )
            failure = OutcomeUnknownError(detail='internal error of the host')
            answer = self._make_problem(request, failure)
        if request.handover is not None:
            answer.headers[HANDOVER] = encode_outcome(request.handover, error=failure)
        try:
            await self._write(answer)
        except StreamClosedError:
            self._server.environment.metrics.count('callers_left')
        finally:
            self._server.in_flight -= 1

    def _make_problem(self, request: EntryRequest, error: RequestError) -> HttpResponse:
        environment = self._server.environment
        environment.metrics.count(f'problems_{error.code}')
        environment.log.event(
            'request_failed',
            request=request.request_id,
            status=error.status,
            code=error.code,
            reason=error.detail,
            after_s=environment.clock.monotonic() - request.arrived_at,
        )
        return _make_problem_answer(error, request_id=request.request_id)

    def _reject(self, error: RequestError) -> None:
        # The rest of the body is not read, so the connection cannot be reused.
        self._is_answered = True
        self._server.environment.metrics.count(f'problems_{error.code}')
        answer = _make_problem_answer(error, request_id='')
        answer.keep_alive = False
        self._task = asyncio.create_task(self._write_rejection(answer))

    async def _write_rejection(self, answer: HttpResponse) -> None:
        try:
            await self._write(answer)
        except StreamClosedError:
            self._server.environment.metrics.count('callers_left')

    async def _write(self, answer: HttpResponse) -> None:
        self._is_answered = True
        sent = end_to_end_headers(answer.headers, without=_CONTENT_LENGTH)
        if answer.status not in _BODYLESS_STATUSES:
            sent['Content-Length'] = str(len(answer.body))
        is_last = self._server.is_leaving or not answer.keep_alive
        if is_last:
            sent['Connection'] = 'close'
        start_line = httputil.ResponseStartLine('HTTP/1.1', answer.status, answer.reason)
        is_head = self._request is not None and self._request.method == 'HEAD'
        body = b'' if is_head else answer.body
        memory = self._server.environment.answer_memory
        usage = memory.hold(len(body), abort=self._abort_response)
        try:
            written = self._connection.write_headers(start_line, sent, body or None)
            # The stream has a copy.
            answer.body = body = b''
            # Before the end of the response, since Tornado reads the next request right after it.
            self._stream.is_finished = is_last
            self._connection.finish()
            await written
        finally:
            memory.close(usage)
        if is_last:
            self._stream.finish()

    def _abort_response(self, reason: str) -> None:
        request_id = '' if self._request is None else self._request.request_id
        self._server.environment.log.event('answer_cut_off', request=request_id, reason=reason)
        self._stream.close()

    def _decode_request(
        self, start_line: httputil.RequestStartLine, request_headers: httputil.HTTPHeaders
    ) -> EntryRequest:
        timeout_ms = request_headers.get(headers.TIMEOUT_MS, '')
        caller_timeout_s = (
            float(timeout_ms) / _MS_IN_S if _TIMEOUT_FORMAT.fullmatch(timeout_ms) else None
        )
        return EntryRequest(
            request_id=request_headers.get(headers.REQUEST_ID, ''),
            method=start_line.method,
            host=request_headers.get('Host', '').partition(':')[0].lower(),
            path=start_line.path,
            headers=request_headers,
            object_key=_object_key(request_headers.get('Cookie', '')),
            arrived_at=self._stream.consumed_at(),
            caller_timeout_s=caller_timeout_s,
            handover=decode_handover(request_headers) if self._stream.is_from_peer else None,
        )


def _object_key(cookies: str) -> str | None:
    for pair in cookies.split(';'):
        name, _, value = pair.strip().partition('=')
        if name == headers.AFFINITY_COOKIE:
            return unquote(value)
    return None


def _make_problem_answer(error: RequestError, *, request_id: str) -> HttpResponse:
    problem = problem_response(error)
    if error.retry_after_s is not None:
        problem.headers[headers.RETRY_AFTER] = f'{math.ceil(error.retry_after_s * 100) / 100:g}'
    if request_id:
        problem.headers[headers.REQUEST_ID] = request_id
    return HttpResponse(
        status=problem.status,
        reason=HTTPStatus(problem.status).phrase,
        headers=problem.headers,
        body=problem.body,
        keep_alive=True,
        keep_alive_timeout_s=None,
    )
