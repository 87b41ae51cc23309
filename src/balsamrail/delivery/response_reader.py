"""Reads one HTTP response of a target or of the store."""

import re
from collections.abc import Callable

from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine

from balsamrail.delivery.http_message import HttpResponse
from balsamrail.exchange.hop_headers import connection_options
from balsamrail.exchange.response_buffer import ResponseBuffer

_MIN_FINAL_STATUS = 200
_KEEP_ALIVE_TIMEOUT = re.compile(r'timeout\s*=\s*(\d{1,6})', re.IGNORECASE)


class ResponseReader(ResponseBuffer):
    """Parses one response, including responses delimited by the close of the connection.

    :param is_first: whether no response was read from the connection before.
    :param on_head: called with the status and the headers of each response, before its body, and
        with ``is_first``.
    """

    __slots__ = ('_is_first', '_on_head')

    def __init__(
        self,
        *,
        method: str,
        is_first: bool,
        on_head: Callable[[int, HTTPHeaders, bool], None] | None = None,
    ) -> None:
        super().__init__(method=method)
        self._is_first = is_first
        self._on_head = on_head

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the headers and report them to ``on_head``."""
        super().headers_received(start_line, headers)
        if self._on_head is not None and self.start is not None:
            self._on_head(self.start.code, headers, self._is_first)

    def response(self) -> HttpResponse | None:
        """Return the complete response, ``None`` if it is incomplete or only interim."""
        if self.start is None or not self.is_complete():
            return None
        if self.start.code < _MIN_FINAL_STATUS:
            return None
        is_kept = self.start.version == 'HTTP/1.1' and not self.is_close_delimited()
        return HttpResponse(
            status=self.start.code,
            reason=self.start.reason,
            headers=self.headers,
            body=self.body(),
            keep_alive=is_kept and 'close' not in connection_options(self.headers),
            keep_alive_timeout_s=self._idle_s(),
        )

    def _idle_s(self) -> float | None:
        found = _KEEP_ALIVE_TIMEOUT.search(self.headers.get('Keep-Alive', ''))
        return float(found.group(1)) if found else None
