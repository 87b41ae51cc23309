"""HTTP server for small pages, selected by path."""

from collections.abc import Callable, Mapping
from http import HTTPStatus

from tornado.httputil import (
    HTTPConnection,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
)

from balsamrail.process.page import Page
from balsamrail.process.page_exchange import PageExchange

_NOT_FOUND = Page(body='', media_type='text/plain', status=HTTPStatus.NOT_FOUND)
_METHOD_NOT_ALLOWED = Page(body='', media_type='text/plain', status=HTTPStatus.METHOD_NOT_ALLOWED)


class PageServer(HTTPServerConnectionDelegate):
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

    def start_request(self, server_conn: object, request_conn: HTTPConnection) -> PageExchange:
        """Return the delegate that receives and answers one request."""
        return PageExchange(connection=request_conn, make_page=self._make_page)

    def _make_page(self, request: HTTPServerRequest) -> Page:
        make_page = self._page_makers_by_path.get(request.path or '')
        if make_page is None:
            return _NOT_FOUND
        return make_page(request) if request.method == 'GET' else _METHOD_NOT_ALLOWED
