"""One keep-alive connection to an upstream."""

import asyncio

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import RequestStartLine

from balsamrail.environment import Environment
from balsamrail.errors import ConnectError
from balsamrail.exchange.answer import Answer
from balsamrail.exchange.stream_faults import STREAM_FAULTS, cause_of
from balsamrail.exchange.upstream_stream import UpstreamStream
from balsamrail.forwarding.answer_collector import AnswerCollector
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.outgoing import Outgoing

_METHODS_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
# A small body goes out in one segment with the headers; a larger one is not copied for that.
_JOINED_BODY_BYTES = 16_384


class UpstreamConnection:
    """A connection that carries one request after another.

    It closes itself whenever an exchange does not end with a complete answer, so that a late
    answer can never reach the next request.
    """

    __slots__ = ('_environment', '_stream', 'address', 'last_used', 'opened_at', 'used')

    def __init__(self, *, environment: Environment, address: str) -> None:
        limits = environment.settings.limits
        self._environment = environment
        self._stream = UpstreamStream.unconnected(
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

        :param deadline: the loop's time in seconds at which the attempt is given up.
        :raises AttemptError: if it is refused or not open by then.
        """
        try:
            await self._stream.open(address=self.address, deadline=deadline)
        except ConnectError as error:
            raise AttemptError(
                detail=error.detail, may_have_run=False, timed_out=error.has_timed_out
            ) from error

    def is_usable(self) -> bool:
        """Return whether another request may be written."""
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
        """Close the connection, which cancels a request that is on it."""
        self._stream.close()

    async def exchange(self, outgoing: Outgoing, *, deadline: float) -> Answer:
        """Send a request and return its complete answer.

        :param deadline: the loop's time in seconds at which the request is given up.
        :raises AttemptError: if no complete answer arrived.
        """
        reused, self.used = self.used, True
        collector = AnswerCollector(method=outgoing.method)
        self._stream.begin_answer(self._environment)
        try:
            answer = await self._exchange(outgoing, collector, deadline)
        except TimeoutError:
            self.close()
            raise AttemptError(
                detail='no complete answer within the deadline',
                may_have_run=True,
                reused=reused,
                timed_out=True,
            )
        except STREAM_FAULTS as error:
            self.close()
            raise AttemptError(detail=f'{cause_of(error)}', may_have_run=True, reused=reused)
        except BaseException:
            self.close()
            raise
        finally:
            self._stream.end_answer()
        if answer is None:
            self.close()
            raise AttemptError(detail='the answer is malformed', may_have_run=True, reused=reused)
        if outgoing.echoed_id is not None:
            self._check_echo(outgoing.echoed_id, answer, reused=reused)
        self.last_used = self._environment.clock.monotonic()
        if not collector.keeps_open() or not self._stream.is_idle():
            self.close()
        return answer

    async def _exchange(
        self,
        outgoing: Outgoing,
        collector: AnswerCollector,
        deadline: float,
    ) -> Answer | None:
        limits = self._environment.settings.limits
        parameters = HTTP1ConnectionParameters(
            max_header_size=limits.header_bytes,
            max_body_size=limits.body_bytes,
        )
        connection = HTTP1Connection(self._stream, True, parameters)
        try:
            async with asyncio.timeout_at(deadline):
                _write(connection, outgoing)
                await connection.read_response(collector)
            return collector.answer()
        finally:
            collector.drop()

    def _check_echo(self, request_id: str, answer: Answer, *, reused: bool) -> None:
        if answer.headers.get('Request-Id') == request_id:
            return
        self.close()
        self._environment.metrics.count('crossed_answers')
        self._environment.log.event('crossed_answer', target=self.address)
        raise AttemptError(
            detail='the answer belongs to another request',
            may_have_run=True,
            reused=reused,
        )


def _write(connection: HTTP1Connection, outgoing: Outgoing) -> None:
    start_line = RequestStartLine(outgoing.method, outgoing.path, 'HTTP/1.1')
    body = outgoing.body
    if body or outgoing.method in _METHODS_WITH_BODY:
        outgoing.headers['Content-Length'] = str(len(body))
    if len(body) <= _JOINED_BODY_BYTES:
        connection.write_headers(start_line, outgoing.headers, body or None)
    else:
        connection.write_headers(start_line, outgoing.headers)
        connection.write(body)
    connection.finish()
