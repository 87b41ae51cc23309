"""HTTP application of the listener for callers."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from tornado import httputil
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from balsamrail.errors import KeyNotReadyError, NotReadyError, RequestError
from balsamrail.forwarding import UnknownPathHandler, problem_response


class CallerApplication(Application):
    """Rejects requests until ``ready`` and counts the requests in flight.

    A graceful shutdown waits for the count to reach 0.

    A request is counted from the arrival of its headers until the last byte of its response is
    written. If the caller disconnects, the request is counted until its handler returns, because
    processing continues without the caller.
    """

    def __init__(self, *, rules: list[tuple[Any, ...]], ready: Callable[[], bool]) -> None:
        super().__init__(
            [_with_request_counting(rule, application=self) for rule in rules],
            default_handler_class=UnknownPathHandler,
            log_function=_log_nothing,
        )
        self.ready = ready
        self.in_flight = 0
        self.is_draining = False

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return a delegate that counts the request while it is being read."""
        delegate = super().start_request(server_conn, request_conn)
        return _CountingDelegate(delegate=delegate, application=self)


class _CountingDelegate(httputil.HTTPMessageDelegate):
    def __init__(
        self, *, delegate: httputil.HTTPMessageDelegate, application: CallerApplication
    ) -> None:
        self._delegate = delegate
        self._application = application
        self._reading = False

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Any:
        self._reading = True
        self._application.in_flight += 1
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Any:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._delegate.finish()
        # The handler's task is already scheduled and increments the counter before this callback.
        asyncio.get_running_loop().call_soon(self._end_reading)

    def on_connection_close(self) -> None:
        self._end_reading()
        self._delegate.on_connection_close()

    def _end_reading(self) -> None:
        if self._reading:
            self._reading = False
            self._application.in_flight -= 1


def _with_request_counting(
    rule: tuple[Any, ...], *, application: CallerApplication
) -> tuple[Any, ...]:
    pattern, handler, *options = rule
    base: Any = handler

    class CountedHandler(base):  # type: ignore[misc]
        """Counts the request while the handler runs and its response is being written."""

        _written: asyncio.Future[None] | None = None
        _closes_connection = False

        def prepare(self) -> Any:
            if application.ready():
                return super().prepare()
            problem = problem_response(_not_ready(self.request.headers))
            self.set_status(problem.status)
            for name, value in problem.headers.get_all():
                self.set_header(name, value)
            return self.finish(problem.body)

        def finish(self, chunk: Any = None) -> Any:
            if application.is_draining:
                # Tornado sends this header but keeps the connection open unless the caller sent it too.
                self.set_header('Connection', 'close')
                self._closes_connection = True
            self._written = super().finish(chunk)
            return self._written

        async def _execute(self, *arguments: Any, **options: Any) -> None:
            application.in_flight += 1
            try:
                await super()._execute(*arguments, **options)
                await _wait_until_written(self._written)
                if self._closes_connection:
                    self.request.connection.close()
            finally:
                application.in_flight -= 1

    CountedHandler.__name__ = base.__name__
    return (pattern, CountedHandler, *options)


def _not_ready(headers: httputil.HTTPHeaders) -> RequestError:
    detail = 'the host has not received the active declaration yet'
    # An earlier request with the same key may have run on another host or incarnation.
    error = KeyNotReadyError if 'Idempotency-Key' in headers else NotReadyError
    return error(detail=detail, retry_after_s=1)


def _log_nothing(handler: RequestHandler) -> None:
    """Replace tornado's access log, which would write a line for each request."""


async def _wait_until_written(written: asyncio.Future[None] | None) -> None:
    if written is not None:
        with contextlib.suppress(StreamClosedError):
            await written
