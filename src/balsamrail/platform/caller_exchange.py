"""One request of a caller and its answer."""

import asyncio
from collections.abc import Awaitable
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.iostream import StreamClosedError

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.errors import (
    OutcomeUnknownError,
    RequestError,
    TooLargeError,
)
from balsamrail.exchange.body_collector import BodyCollector
from balsamrail.exchange.caller_stream import CallerStream
from balsamrail.exchange.hop_headers import (
    connection_options,
    end_to_end_headers,
    keep_framing,
)
from balsamrail.exchange.request_usage import RequestUsage
from balsamrail.exchange.response_queue import ResponseTurn
from balsamrail.platform.caller_codec import decode_request, problem_answer
from balsamrail.platform.header_check import HeaderSize, check_header
from balsamrail.platform.headers import HANDOVER
from balsamrail.platform.proxy_protocol import encode_outcome

if TYPE_CHECKING:
    from balsamrail.platform.caller_server import CallerServer

_CONTENT_LENGTH = frozenset(('content-length',))
_BODYLESS_STATUSES = frozenset((204, 304))
# How long the caller of a rejected request has to read the response.
_REJECTION_TIMEOUT_S = 5
# Requests run concurrently only if they end within this fraction of the idle timeout, which starts
# when the next request could be sent.
_MAX_IDLE_FRACTION = 0.5


class CallerExchange(httputil.HTTPMessageDelegate):
    """Receives one request and writes its answer.

    Idempotent requests run concurrently with others of their connection: the connection continues
    to read while they run, and each answer is written once all earlier ones have been.
    """

    def __init__(
        self,
        *,
        server: 'CallerServer',
        connection: httputil.HTTPConnection,
        stream: CallerStream,
    ) -> None:
        self._stream = stream
        self._server = server
        self._connection = connection
        self._request: EntryRequest | None = None
        self._body = BodyCollector()
        self._is_answered = False
        self._is_rejected = False
        self._usage: RequestUsage | None = None
        self._is_concurrent = False
        self._turn: ResponseTurn | None = None
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Decode the headers; return when the request may be received and handled."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._server.in_flight += 1
        request = decode_request(start_line, headers, stream=self._stream)
        self._stream.note_delivered()
        self._request = request
        self._server.last_request_at = self._server.environment.clock.monotonic()
        self._is_concurrent = self._may_run_concurrently(start_line, request)
        self._check_header(request)
        if self._is_answered:
            return None
        if self._stream.responses.has_room(is_concurrent=self._is_concurrent):
            self._begin()
            return None
        return self._begin_later()

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._stream.note_delivered()
        if self._is_answered:
            return
        self._body.append(chunk)
        if self._body.size > self._server.limits.body_bytes:
            self._reject(TooLargeError(detail='the body exceeds the size limit'))
        elif self._usage is not None:
            self._server.environment.caller_memory.add_body(self._usage, len(chunk))

    def finish(self) -> None:
        """Start handling the complete request."""
        request = self._request
        if self._is_answered or request is None:
            return
        if self._usage is not None:
            self._server.environment.caller_memory.complete(self._usage)
        if self._stream.closed() or self._stream.is_finished:
            # The caller has left, or sends the request again on another connection.
            self._server.environment.metrics.count('requests_behind_close')
            self._end()
            return
        request.body = self._body.take()
        self._stream.add_close_listener(self._on_caller_disconnect)
        self._task = asyncio.create_task(self._handle(request))
        if self._is_concurrent:
            # Tornado reads the next request once the response counts as finished.
            self._connection.finish()

    def on_connection_close(self) -> None:
        """Discard a request whose connection closed before it was complete."""
        if self._task is None:
            self._end()

    def _check_header(self, request: EntryRequest) -> None:
        """Account for the header, and reject the request if its body need not be read."""
        server = self._server
        size = HeaderSize.of(request)
        memory = server.environment.caller_memory
        request.usage = memory.open(
            header_bytes=size.held_bytes,
            reception_bytes=size.reception_bytes,
            refuse=self._reject,
        )
        self._usage = request.usage
        memory.hold(self._usage)
        if self._is_answered:
            return
        try:
            check_header(
                request, size, limits=server.limits, check_route=server.handler.check_headers
            )
        except RequestError as error:
            self._reject(error)

    def _begin(self) -> None:
        """Take the request's turn; its body is read from now on."""
        self._turn = self._stream.responses.join(is_concurrent=self._is_concurrent)
        if self._usage is not None:
            self._usage.body_since = self._server.environment.clock.monotonic()

    async def _begin_later(self) -> None:
        await self._stream.responses.wait_for_room(is_concurrent=self._is_concurrent)
        if not self._is_answered:
            self._begin()

    def _may_run_concurrently(
        self, start_line: httputil.RequestStartLine, request: EntryRequest
    ) -> bool:
        is_last = start_line.version != 'HTTP/1.1' or 'close' in connection_options(
            request.headers
        )
        timeout_s = None if is_last else self._server.handler.idempotent_timeout_s(request)
        longest_s = self._server.limits.idle_timeout_s * _MAX_IDLE_FRACTION
        return timeout_s is not None and timeout_s <= longest_s

    def _end(self) -> None:
        """Give way to the next response of the connection."""
        self._server.in_flight -= 1
        self._stream.remove_close_listener(self._on_caller_disconnect)
        if self._usage is not None:
            self._usage.release()
        if self._turn is not None:
            self._turn.end()

    def _on_caller_disconnect(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _handle(self, request: EntryRequest) -> None:
        try:
            await self._write(await self._answer(request))
        except (asyncio.CancelledError, StreamClosedError):
            self._server.environment.metrics.count('callers_left')
        finally:
            self._end()

    async def _answer(self, request: EntryRequest) -> HttpResponse:
        failure: RequestError | None = None
        try:
            answer = await self._server.handler.handle(request)
        except RequestError as error:
            failure = error
            answer = self._make_problem(request, error)
        except Exception as error:
            self._server.environment.log.event(
                'request_crashed', request=request.request_id, error=repr(error)
            )
            failure = OutcomeUnknownError(detail='internal error of the host')
            answer = self._make_problem(request, failure)
        if request.handover is not None:
            answer.headers[HANDOVER] = encode_outcome(request.handover, error=failure)
        return answer

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
            **({} if request.customer_name is None else {'customer': request.customer_name}),
        )
        return problem_answer(error, request_id=request.request_id)

    def _reject(self, error: RequestError) -> None:
        # The rest of the body is not kept, so the connection cannot be reused.
        assert self._request is not None
        self._is_answered = True
        self._is_rejected = True
        self._body = BodyCollector()
        if self._usage is not None:
            self._server.environment.caller_memory.discard(self._usage)
        if self._turn is None:
            self._turn = self._stream.responses.join(is_concurrent=self._is_concurrent)
        self._server.environment.metrics.count(f'problems_{error.code}')
        answer = problem_answer(error, request_id=self._request.request_id)
        if self._request.handover is not None:
            answer.headers[HANDOVER] = encode_outcome(self._request.handover, error=error)
        answer.keep_alive = False
        keep_framing(self._request.headers)
        self._task = asyncio.create_task(self._write_rejection(self._turn, answer))

    async def _write_rejection(self, turn: ResponseTurn, answer: HttpResponse) -> None:
        if self._usage is not None:
            self._stream.reserve(self._usage.reception_bytes)
        await turn.wait()
        # The caller may read nothing while it sends.
        loop = asyncio.get_running_loop()
        timeout = loop.call_later(_REJECTION_TIMEOUT_S, self._stream.close)
        try:
            await self._write(answer)
        except StreamClosedError:
            self._server.environment.metrics.count('callers_left')
        finally:
            timeout.cancel()
            self._end()

    async def _write(self, answer: HttpResponse) -> None:
        assert self._turn is not None
        await self._turn.wait()
        self._is_answered = True
        sent = end_to_end_headers(answer.headers, without=_CONTENT_LENGTH)
        if answer.status not in _BODYLESS_STATUSES:
            sent['Content-Length'] = str(len(answer.body))
        # The requests behind this one have been sent to targets already.
        is_last = self._turn.is_latest() and (self._server.is_leaving or not answer.keep_alive)
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
            if self._is_concurrent or self._is_rejected:
                # Tornado would close the connection of a request that it has not read, and a caller
                # that still sends would lose the response to a reset.
                self._stream.set_nodelay(True)
            else:
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
