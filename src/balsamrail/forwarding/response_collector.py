"""Collects one response of an upstream."""

from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine, ResponseStartLine

from balsamrail.exchange.hop_headers import connection_options
from balsamrail.exchange.response import Response
from balsamrail.exchange.response_buffer import ResponseBuffer

_FIRST_FINAL_STATUS = 200


class ResponseCollector(ResponseBuffer):
    """Accepts only responses with a length or chunks; others may be truncated unnoticed."""

    __slots__ = ()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the headers.

        :raises HTTPInputError: if the response is delimited by the end of the connection.
        """
        super().headers_received(start_line, headers)
        is_final = self.start is not None and self.start.code >= _FIRST_FINAL_STATUS
        if is_final and self.is_close_delimited():
            raise HTTPInputError('the response has neither a length nor chunks')

    def is_keep_alive(self) -> bool:
        """Return whether the connection may be reused after this response."""
        if self.start is None or self.start.version != 'HTTP/1.1':
            return False
        return 'close' not in connection_options(self.headers)

    def response(self) -> Response | None:
        """Return the response, ``None`` if it is incomplete."""
        if self.start is None or not self.is_complete():
            return None
        return Response(status=self.start.code, headers=self.headers, body=self.body())
