"""HTTP pages for operators."""

import json
from collections.abc import Callable
from typing import Any

from balsamrail.process.page import Page
from balsamrail.process.page_server import PageServer


def operator_pages(
    *,
    dump: Callable[[], dict[str, Any]],
    status: Callable[[], dict[str, Any]],
    metrics: Callable[[], str],
) -> PageServer:
    """Return the server of ``/dump``, ``/status`` and ``/metrics``."""
    return PageServer(
        page_makers_by_path={
            '/dump': lambda _: Page(body=_to_json(dump())),
            '/status': lambda _: Page(body=_to_json(status())),
            '/metrics': lambda _: Page(body=metrics(), media_type='text/plain'),
        }
    )


def _to_json(state: dict[str, Any]) -> str:
    return json.dumps(state, indent=1, default=str, sort_keys=True)
