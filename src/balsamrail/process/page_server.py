"""Serves small pages by their path."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from balsamrail.process.page import Page

_NOT_FOUND = Page(body='', media_type='text/plain', status=HTTPStatus.NOT_FOUND)
_WRONG_METHOD = Page(body='', media_type='text/plain', status=HTTPStatus.METHOD_NOT_ALLOWED)


class PageServer:
    """Answers the requests of a :class:`tornado.httpserver.HTTPServer`.

    It does without ``tornado.web``, whose import alone is a tenth of the time that a host takes to
    start::

        HTTPServer(PageServer(make_by_path={'/status': lambda request: Page(body='{}')}))

    :param make_by_path: makes the page of each path.
    """

    __slots__ = ('_make_by_path',)

    def __init__(self, *, make_by_path: Mapping[str, Callable[[HTTPServerRequest], Page]]) -> None:
        self._make_by_path = make_by_path

    def __call__(self, request: HTTPServerRequest) -> None:
        """Answer a request."""
        page = self._page(request)
        body = page.body.encode()
        headers = HTTPHeaders({'Content-Type': page.media_type, 'Content-Length': str(len(body))})
        connection = request.connection
        assert connection is not None
        connection.write_headers(
            ResponseStartLine('HTTP/1.1', page.status, page.status.phrase), headers, body
        )
        connection.finish()

    def _page(self, request: HTTPServerRequest) -> Page:
        make = self._make_by_path.get(request.path or '')
        if make is None:
            return _NOT_FOUND
        return make(request) if request.method == 'GET' else _WRONG_METHOD
