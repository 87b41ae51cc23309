"""The HTTP handler of forwarded requests."""

import asyncio
from typing import Any

from tornado.web import HTTPError, RequestHandler, stream_request_body

from balsamrail.environment import Environment
from balsamrail.errors import (
    BadRequestError,
    BodyTimeoutError,
    HeadersTooLargeError,
    OutcomeUnknownError,
    RequestError,
    TooLargeError,
)
from balsamrail.exchange.problem import problem_response
from balsamrail.exchange.response import Response
from balsamrail.forwarding.caller_request import CallerRequest
from balsamrail.forwarding.forwarder import Forwarder

_MS_IN_S = 1_000
_MAX_DEADLINE_DIGITS = 9
_MAX_COALESCED_BODY_BYTES = 16_384
# Colon, space and CRLF of a header line.
_HEADER_LINE_OVERHEAD_BYTES = 4
# tornado closes the connection without a response when its own limit is exceeded, so only the
# handler limits the body: it counts the received bytes and stores no more than its limit.
_UNLIMITED_BODY_BYTES = 1 << 60
_BODYLESS_STATUSES = frozenset((204, 304))
_METHOD_NOT_ALLOWED = 405
_PREFIX_SEGMENTS = 3


@stream_request_body
class ForwardHandler(RequestHandler):
    """Forwards any method on ``/services/{service}/{path}``.

    The body is streamed, so that limits are checked before it is read::

        Application([(ForwardHandler.pattern, ForwardHandler, {'forwarder': ..., ...})])

    The server requires :func:`balsamrail.forwarding.http_server_options`: its header limit exceeds
    that of the handler, so that a caller gets a response rather than a closed connection.
    """

    pattern = '/services/([^/?]+)(/.*)?'

    def initialize(self, *, forwarder: Forwarder, environment: Environment) -> None:
        """Store the collaborators that tornado passes to the handler."""
        self._forwarder = forwarder
        self._environment = environment
        self._chunks: list[bytes] = []
        self._received = 0
        self._deadline: float | None = None
        self._body_timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[Response] | None = None

    def prepare(self) -> None:
        """Check the headers and the declared length before the body is read."""
        limits = self._environment.settings.limits
        try:
            self._check_headers()
        except RequestError as error:
            self._reject(error)
        else:
            connection: Any = self.request.connection
            connection.set_max_body_size(_UNLIMITED_BODY_BYTES)
            loop = asyncio.get_running_loop()
            self._body_timer = loop.call_later(limits.body_timeout_s, self._on_body_timeout)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        if self._finished:
            return
        self._received += len(chunk)
        if self._received > self._environment.settings.limits.body_bytes:
            self._reject(TooLargeError(detail='the body exceeds the size limit'))
            return
        self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Cancel the request when its caller disconnects."""
        self._stop_timer()
        if self._task is not None:
            self._task.cancel()

    def on_finish(self) -> None:
        """Stop the body timer."""
        self._stop_timer()

    def compute_etag(self) -> str | None:
        """Disable entity tags of tornado; they are up to the upstream."""

    def set_default_headers(self) -> None:
        """Remove default headers, so that only those of the response are sent."""
        self.clear_header('Server')
        self.clear_header('Content-Type')

    def write_error(self, status_code: int, **fields: Any) -> None:
        """Report errors raised by tornado as problem details."""
        cause = fields.get('exc_info', (None, None, None))[1]
        error = BadRequestError(detail='the request is malformed')
        if isinstance(cause, HTTPError) and cause.log_message:
            error.detail = cause.log_message
        if status_code == _METHOD_NOT_ALLOWED:
            error.detail = f'{self.request.method} is not supported'
        self._send(problem_response(error, status=status_code))

    async def get(self, *segments: str) -> None:
        """Forward the request."""
        self._stop_timer()
        chunks = self._chunks
        request = CallerRequest(
            method=self.request.method or '',
            service=segments[0],
            path=self._upstream_path(),
            caller=self.request.remote_ip or '',
            headers=self.request.headers,
            body=chunks[0] if len(chunks) == 1 else b''.join(chunks),
            deadline=self._deadline,
        )
        self._chunks = []
        self._task = asyncio.create_task(self._forwarder.handle(request))
        try:
            response = await self._task
        except RequestError as error:
            self._environment.metrics.count(f'problems_{error.code}')
            response = problem_response(error)
        except Exception as error:
            # The request may already have been sent.
            self._environment.log.event('forwarding_failed', error=repr(error))
            response = problem_response(OutcomeUnknownError(detail='internal error of the host'))
        except asyncio.CancelledError:
            # Without a response, tornado would finish the request with an empty 200.
            self._environment.metrics.count('requests_cancelled')
            response = problem_response(OutcomeUnknownError(detail='the request was cancelled'))
        self._environment.metrics.count(f'answers_{response.status}')
        self._send(response)

    head = post = put = patch = delete = options = get

    def _check_headers(self) -> None:
        limits = self._environment.settings.limits
        lines = self.request.headers.get_all()
        size = sum(len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES for name, value in lines)
        if size + len(self.request.uri or '') > limits.header_bytes:
            raise HeadersTooLargeError(detail=f'the headers exceed {limits.header_bytes} bytes')
        length = self.request.headers.get('Content-Length', '0')
        # isdigit() accepts non-ASCII digits, and int() rejects thousands of digits.
        if not length.isascii() or not length.isdigit():
            raise BadRequestError(detail='Content-Length is not a number')
        is_long = len(length.lstrip('0')) > len(str(limits.body_bytes))
        if is_long or int(length) > limits.body_bytes:
            raise TooLargeError(detail=f'the body exceeds {limits.body_bytes} bytes')
        deadline_ms = self.request.headers.get('Deadline-Ms')
        if deadline_ms is not None:
            is_number = deadline_ms.isascii() and deadline_ms.isdigit()
            if not is_number or len(deadline_ms) > _MAX_DEADLINE_DIGITS:
                raise BadRequestError(detail='Deadline-Ms is not a number of milliseconds')
            now = self._environment.clock.monotonic()
            self._deadline = now + int(deadline_ms) / _MS_IN_S

    def _upstream_path(self) -> str:
        # The raw path, since decoding and re-encoding could change it.
        uri = self.request.uri or ''
        segments = uri.split('/', _PREFIX_SEGMENTS)
        if len(segments) > _PREFIX_SEGMENTS:
            return f'/{segments[_PREFIX_SEGMENTS]}'
        _, question_mark, query = uri.partition('?')
        return f'/{question_mark}{query}'

    def _on_body_timeout(self) -> None:
        self._reject(BodyTimeoutError(detail='the body did not arrive in time'))

    def _reject(self, error: RequestError) -> None:
        self._stop_timer()
        self._environment.metrics.count(f'problems_{error.code}')
        self._chunks = []
        response = problem_response(error)
        # The rest of the body is not read, so the connection cannot be reused.
        response.headers['Connection'] = 'close'
        self._send(response)

    def _send(self, response: Response) -> None:
        self.set_status(response.status)
        if 'Date' in response.headers:
            self.clear_header('Date')
        for name, value in response.headers.get_all():
            self.add_header(name, value)
        if self.request.method == 'HEAD' or response.status in _BODYLESS_STATUSES:
            # Content-Length, if any, describes the body that is not sent.
            self.finish()
            return
        self.set_header('Content-Length', str(len(response.body)))
        if len(response.body) > _MAX_COALESCED_BODY_BYTES:
            # tornado would copy the body to join it with the headers.
            self.flush()
        memory = self._environment.answer_memory
        usage = memory.hold(len(response.body), abort=self._abort_response)
        self.finish(response.body).add_done_callback(lambda _: memory.close(usage))

    def _abort_response(self, reason: str) -> None:
        self._environment.log.event('answer_cut_off', reason=reason)
        connection: Any = self.request.connection
        connection.stream.close()

    def _stop_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None
