"""Reads one answer of an upstream."""

from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine, ResponseStartLine

from balsamrail.exchange.answer_parts import AnswerParts
from balsamrail.exchange.hop_headers import connection_options
from balsamrail.exchange.response import Response

_FIRST_FINAL_STATUS = 200


class ResponseCollector(AnswerParts):
    """Takes only answers with a length or in chunks; others may be cut off without a sign."""

    __slots__ = ()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Take the headers.

        :raises HTTPInputError: if the answer has no length.
        """
        super().headers_received(start_line, headers)
        is_final = self.start is not None and self.start.code >= _FIRST_FINAL_STATUS
        if is_final and self.ends_with_connection():
            raise HTTPInputError('the answer has no length')

    def is_keep_alive(self) -> bool:
        """Return whether the answer lets the connection carry another request."""
        if self.start is None or self.start.version != 'HTTP/1.1':
            return False
        return 'close' not in connection_options(self.headers)

    def response(self) -> Response | None:
        """Return the complete answer, ``None`` if a part of it is missing."""
        if self.start is None or not self.is_finished():
            return None
        return Response(status=self.start.code, headers=self.headers, body=self.body())
