"""HTTP pages for readiness checks and look-ups in the platform's format."""

import json
from collections.abc import Callable
from http import HTTPStatus

from tornado.httputil import HTTPServerRequest

from balsamrail.process.page import Page
from balsamrail.process.page_server import PageServer

READY_PATH = '/balsamrail/readyz'
LOOKUP_PATH = '/balsamrail/resolve'


def lookup_pages(
    *, look_up: Callable[..., list[str]], is_ready: Callable[[], bool], ttl_s: float
) -> PageServer:
    """Return the server of the readiness and the look-up listeners.

    :param look_up: returns the addresses of the hosts that a caller should use.
    :param ttl_s: for how long a caller may cache the result of a look-up, in seconds.
    """

    def answer_readiness(_: HTTPServerRequest) -> Page:
        status = HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE
        return Page(body='', media_type='text/plain', status=status)

    def answer_lookup(request: HTTPServerRequest) -> Page:
        addresses = look_up(
            name=_query_argument(request, 'name'),
            region=_query_argument(request, 'region'),
            zone=_query_argument(request, 'zone'),
        )
        return Page(
            body=json.dumps({'addresses': addresses, 'ttlS': ttl_s}),
            status=HTTPStatus.OK if addresses else HTTPStatus.SERVICE_UNAVAILABLE,
        )

    return PageServer(
        page_makers_by_path={READY_PATH: answer_readiness, LOOKUP_PATH: answer_lookup}
    )


def _query_argument(request: HTTPServerRequest, name: str) -> str:
    values = request.query_arguments.get(name)
    return values[-1].decode(errors='replace') if values else ''
