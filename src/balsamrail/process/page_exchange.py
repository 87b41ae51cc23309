"""One request for a page and its response."""

from collections.abc import Callable
from http import HTTPStatus

from tornado import httputil

from balsamrail.process.page import Page

_TOO_LARGE = Page(body='', media_type='text/plain', status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class PageExchange(httputil.HTTPMessageDelegate):
    """Receives one request without a body and writes the page.

    A request with a body is answered when its header has arrived, and its connection is closed: the
    body is never kept.

    :param make_page: creates the page for a request.
    """

    def __init__(
        self,
        *,
        connection: httputil.HTTPConnection,
        make_page: Callable[[httputil.HTTPServerRequest], Page],
    ) -> None:
        self._connection = connection
        self._make_page = make_page
        self._request: httputil.HTTPServerRequest | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the request, or answer it if it has a body."""
        assert isinstance(start_line, httputil.RequestStartLine)
        request = httputil.HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )
        if headers.get('Content-Length', '').strip('0') or 'Transfer-Encoding' in headers:
            page = self._make_page(request) if request.method != 'GET' else _TOO_LARGE
            self._write(page)
        else:
            self._request = request

    def data_received(self, chunk: bytes) -> None:
        """Discard a part of a body."""

    def finish(self) -> None:
        """Answer the request."""
        if self._request is not None:
            self._write(self._make_page(self._request))

    def on_connection_close(self) -> None:
        """Do nothing: an incomplete request needs no response."""

    def _write(self, page: Page) -> None:
        body = page.body.encode()
        fields = {'Content-Type': page.media_type, 'Content-Length': str(len(body))}
        start_line = httputil.ResponseStartLine('HTTP/1.1', page.status, page.status.phrase)
        self._connection.write_headers(start_line, httputil.HTTPHeaders(fields), body)
        # Closes the connection if the request has a body.
        self._connection.finish()
