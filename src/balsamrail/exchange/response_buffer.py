"""Buffers one response parsed by tornado."""

from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)

_SWITCHING_PROTOCOLS = 101
# RFC 9110 defines no other classes of status codes; tornado accepts any three digits.
_MIN_STATUS = 100
_MAX_STATUS = 599
_BODYLESS_STATUSES = frozenset((204, 304))


class ResponseBuffer(HTTPMessageDelegate):
    """Buffers a response until it is complete.

    If a body has neither a length nor chunks, tornado treats the end of the connection as the end
    of the body, even after a reset. Such a response is only complete if the connection was closed
    without an error.

    :param method: the method of the request.
    """

    __slots__ = ('_body', '_is_complete', '_method', 'headers', 'start')

    def __init__(self, *, method: str) -> None:
        self._method = method
        # As separate objects, chunks of two bytes would take twenty times their length.
        self._body = bytearray()
        self._is_complete = False
        self.start: ResponseStartLine | None = None
        self.headers = HTTPHeaders()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Store the headers; an interim response is replaced by the next one.

        :raises HTTPInputError: if the status is not one of HTTP, or not one that was asked for.
        """
        assert isinstance(start_line, ResponseStartLine)
        if not _MIN_STATUS <= start_line.code <= _MAX_STATUS:
            raise HTTPInputError(f'{start_line.code:03} is not a status code')
        if start_line.code == _SWITCHING_PROTOCOLS:
            raise HTTPInputError('unsolicited 101 Switching Protocols')
        self.start = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self._body += chunk

    def finish(self) -> None:
        """Mark the response as complete."""
        self._is_complete = True

    def on_connection_close(self) -> None:
        """Mark the response as incomplete."""
        self._is_complete = False

    def is_complete(self) -> bool:
        """Return whether the response is complete."""
        return self._is_complete

    def is_close_delimited(self) -> bool:
        """Return whether the response is delimited by the end of the connection."""
        if self._method == 'HEAD' or self.start is None:
            return False
        if self.start.code in _BODYLESS_STATUSES:
            return False
        return 'Content-Length' not in self.headers and 'Transfer-Encoding' not in self.headers

    def release_body(self) -> None:
        """Release the body.

        The traceback of an error references this object for as long as the error is kept, for
        example while the request is retried.
        """
        self._body = bytearray()

    def body(self) -> bytes:
        """Return the part of the body received so far."""
        return bytes(self._body)
