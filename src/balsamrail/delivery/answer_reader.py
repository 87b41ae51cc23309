"""Collects one answer from tornado's parser."""

import re

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from balsamrail.delivery.http_message import HttpAnswer
from balsamrail.exchange.hop_headers import connection_options

_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_BODYLESS_STATUSES = frozenset((204, 304))
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*(\d{1,6})', re.IGNORECASE)


class AnswerReader(HTTPMessageDelegate):
    """Holds an answer until the parser has seen its last byte."""

    __slots__ = ('_chunks', '_headers', '_is_finished', '_method', '_start')

    def __init__(self, *, method: str) -> None:
        self._method = method
        self._start: ResponseStartLine | None = None
        self._headers = HTTPHeaders()
        self._chunks: list[bytes] = []
        self._is_finished = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the headers; an interim answer is replaced by the next one."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code == _SWITCHING_PROTOCOLS:
            raise HTTPInputError('the other side switched protocols without being asked')
        self._start = start_line
        self._headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Note that the answer is complete."""
        self._is_finished = True

    def on_connection_close(self) -> None:
        """Note that the answer stays incomplete."""
        self._is_finished = False

    def ends_with_connection(self) -> bool:
        """Return whether the answer has no length, so that the connection's end is its end."""
        if self._method == 'HEAD' or self._start is None:
            return False
        if self._start.code in _BODYLESS_STATUSES:
            return False
        return 'Content-Length' not in self._headers and 'Transfer-Encoding' not in self._headers

    def answer(self) -> HttpAnswer | None:
        """Return the complete answer, ``None`` if a part of it is missing."""
        if self._start is None or not self._is_finished:
            return None
        if self._start.code < _FIRST_FINAL_STATUS:
            return None
        is_kept = self._start.version == 'HTTP/1.1' and not self.ends_with_connection()
        return HttpAnswer(
            status=self._start.code,
            reason=self._start.reason,
            headers=self._headers,
            body=self._chunks[0] if len(self._chunks) == 1 else b''.join(self._chunks),
            keeps_open=is_kept and 'close' not in connection_options(self._headers),
            idle_s=self._idle_s(),
        )

    def _idle_s(self) -> float | None:
        found = _KEEP_ALIVE_TIMEOUT.search(self._headers.get('Keep-Alive', ''))
        return float(found.group(1)) if found else None
