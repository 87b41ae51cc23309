"""Reads one answer of an upstream."""

from tornado.httputil import HTTPHeaders, HTTPInputError, RequestStartLine, ResponseStartLine

from balsamrail.exchange.answer import Answer
from balsamrail.exchange.answer_parts import AnswerParts
from balsamrail.exchange.hop_headers import connection_options

_FIRST_FINAL_STATUS = 200


class AnswerCollector(AnswerParts):
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

    def keeps_open(self) -> bool:
        """Return whether the answer lets the connection carry another request."""
        if self.start is None or self.start.version != 'HTTP/1.1':
            return False
        return 'close' not in connection_options(self.headers)

    def answer(self) -> Answer | None:
        """Return the complete answer, ``None`` if a part of it is missing."""
        if self.start is None or not self.is_finished():
            return None
        return Answer(status=self.start.code, headers=self.headers, body=self.body())
