"""The operators' listener."""

import json
from collections.abc import Callable
from typing import Any

from tornado.web import RequestHandler


class _PageHandler(RequestHandler):
    def initialize(self, *, make: Callable[[], str], media_type: str) -> None:
        self._make = make
        self._media_type = media_type

    def get(self) -> None:
        self.set_header('Content-Type', self._media_type)
        self.finish(self._make())


def operator_routes(
    *,
    dump: Callable[[], dict[str, Any]],
    status: Callable[[], dict[str, Any]],
    metrics: Callable[[], str],
) -> list[tuple[Any, ...]]:
    """Return the handlers of ``/dump``, ``/status`` and ``/metrics``."""
    return [
        ('/dump', _PageHandler, {'make': _json(dump), 'media_type': 'application/json'}),
        ('/status', _PageHandler, {'make': _json(status), 'media_type': 'application/json'}),
        ('/metrics', _PageHandler, {'make': metrics, 'media_type': 'text/plain'}),
    ]


def _json(make: Callable[[], dict[str, Any]]) -> Callable[[], str]:
    def text() -> str:
        return json.dumps(make(), indent=1, default=str, sort_keys=True)

    return text
