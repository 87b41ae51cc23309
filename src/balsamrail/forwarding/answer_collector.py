"""Collects one answer from tornado's parser."""

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from balsamrail.exchange.answer import Answer
from balsamrail.exchange.hop_headers import connection_options

_BODYLESS_STATUSES = frozenset((204, 304))


class AnswerCollector(HTTPMessageDelegate):
    """Holds an answer until the parser has seen its last byte.

    tornado takes the end of the connection for the end of a body that has neither a length nor
    chunks, even after a reset. A truncated answer of this kind looks complete, so it is refused.
    """

    __slots__ = ('_chunks', '_finished', '_headers', '_method', '_start')

    def __init__(self, *, method: str) -> None:
        self._method = method
        self._start: ResponseStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._finished = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the headers; an interim answer is replaced by the next one."""
        assert isinstance(start_line, ResponseStartLine)
        self._start = start_line
        self._headers = headers
        if start_line.code == 101:
            raise HTTPInputError('the upstream switched protocols without being asked')
        if start_line.code >= 200 and not self._is_framed(start_line.code):
            raise HTTPInputError('the answer has no length')

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Note that the answer is complete."""
        self._finished = True

    def on_connection_close(self) -> None:
        """Note that the answer stays incomplete."""
        self._finished = False

    def keeps_open(self) -> bool:
        """Return whether the answer lets the connection carry another request."""
        if self._start is None or self._start.version != 'HTTP/1.1':
            return False
        return 'close' not in connection_options(self._headers)

    def answer(self) -> Answer | None:
        """Return the complete answer, ``None`` if a part of it is missing."""
        if self._start is None or not self._finished:
            return None
        body = self._chunks[0] if len(self._chunks) == 1 else b''.join(self._chunks)
        return Answer(
            status=self._start.code,
            headers=self._headers,
            body=body,
        )

    def _is_framed(self, code: int) -> bool:
        if self._method == 'HEAD' or code in _BODYLESS_STATUSES:
            return True
        return 'Content-Length' in self._headers or 'Transfer-Encoding' in self._headers
