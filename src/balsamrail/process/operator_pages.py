"""HTTP pages for operators."""

import json
from collections.abc import Callable
from typing import Any

from tornado.httputil import HTTPServerRequest

from balsamrail.process.page import Page
from balsamrail.process.page_server import PageServer

_EXPLAIN_ARGUMENTS = ('host', 'path', 'object_key', 'customer_name')


def operator_pages(
    *,
    dump: Callable[[], dict[str, Any]],
    status: Callable[[], dict[str, Any]],
    metrics: Callable[[], str],
    explain: Callable[..., dict[str, Any]] | None = None,
) -> PageServer:
    """Return the server of ``/dump``, ``/status``, ``/metrics`` and, if given, ``/explain``.

    :param explain: tells where a request would go now; called with the arguments ``host``, ``path``,
        ``object_key`` and ``customer_name`` of the query.
    """
    page_makers_by_path: dict[str, Callable[[HTTPServerRequest], Page]] = {
        '/dump': lambda _: Page(body=_to_json(dump())),
        '/status': lambda _: Page(body=_to_json(status())),
        '/metrics': lambda _: Page(body=metrics(), media_type='text/plain'),
    }
    if explain is not None:
        page_makers_by_path['/explain'] = lambda request: Page(
            body=_to_json(explain(**_arguments(request)))
        )
    return PageServer(page_makers_by_path=page_makers_by_path)


def _arguments(request: HTTPServerRequest) -> dict[str, str]:
    return {
        name: (request.query_arguments.get(name) or [b''])[-1].decode(errors='replace')
        for name in _EXPLAIN_ARGUMENTS
    }


def _to_json(state: dict[str, Any]) -> str:
    return json.dumps(state, indent=1, default=str, sort_keys=True)
