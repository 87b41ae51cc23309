"""HTTP server for small pages, selected by path."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from balsamrail.process.page import Page

_NOT_FOUND = Page(body='', media_type='text/plain', status=HTTPStatus.NOT_FOUND)
_METHOD_NOT_ALLOWED = Page(body='', media_type='text/plain', status=HTTPStatus.METHOD_NOT_ALLOWED)


class PageServer:
    """Answers the requests of a :class:`tornado.httpserver.HTTPServer`.

    It does not use ``tornado.web``, whose import alone takes a tenth of the start-up time of a
    host::

        HTTPServer(PageServer(page_makers_by_path={'/status': lambda request: Page(body='{}')}))

    :param page_makers_by_path: functions that create the page of each path.
    """

    __slots__ = ('_page_makers_by_path',)

    def __init__(
        self, *, page_makers_by_path: Mapping[str, Callable[[HTTPServerRequest], Page]]
    ) -> None:
        self._page_makers_by_path = page_makers_by_path

    def __call__(self, request: HTTPServerRequest) -> None:
        """Answer a request with the page of its path."""
        page = self._make_page(request)
        body = page.body.encode()
        headers = HTTPHeaders({'Content-Type': page.media_type, 'Content-Length': str(len(body))})
        connection = request.connection
        assert connection is not None
        connection.write_headers(
            ResponseStartLine('HTTP/1.1', page.status, page.status.phrase), headers, body
        )
        connection.finish()

    def _make_page(self, request: HTTPServerRequest) -> Page:
        make_page = self._page_makers_by_path.get(request.path or '')
        if make_page is None:
            return _NOT_FOUND
        return make_page(request) if request.method == 'GET' else _METHOD_NOT_ALLOWED
