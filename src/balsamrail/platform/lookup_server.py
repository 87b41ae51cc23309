"""Readiness checks and look-ups in the platform's form."""

import json
from collections.abc import Callable

from tornado.web import Application, RequestHandler

READY_PATH = '/balsamrail/readyz'
LOOKUP_PATH = '/balsamrail/resolve'


class ReadyHandler(RequestHandler):
    """Answers 200 while the host takes callers, 503 otherwise."""

    def initialize(self, *, is_ready: Callable[[], bool]) -> None:
        """Take the collaborators, as tornado hands them over."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer the check."""
        self.set_status(200 if self._is_ready() else 503)
        self.finish()


class LookupHandler(RequestHandler):
    """Tells callers where to connect."""

    def initialize(self, *, look_up: Callable[..., list[str]], ttl_s: float) -> None:
        """Take the collaborators, as tornado hands them over."""
        self._look_up = look_up
        self._ttl_s = ttl_s

    def get(self) -> None:
        """Answer the look-up."""
        addresses = self._look_up(
            name=self.get_query_argument('name', ''),
            region=self.get_query_argument('region', ''),
            zone=self.get_query_argument('zone', ''),
        )
        if not addresses:
            self.set_status(503)
        self.set_header('Content-Type', 'application/json')
        self.finish(json.dumps({'addresses': addresses, 'ttlS': self._ttl_s}))


def lookup_application(
    *, look_up: Callable[..., list[str]], is_ready: Callable[[], bool], ttl_s: float
) -> Application:
    """Return the application for the readiness and the look-up listeners."""
    return Application(
        [
            (READY_PATH, ReadyHandler, {'is_ready': is_ready}),
            (LOOKUP_PATH, LookupHandler, {'look_up': look_up, 'ttl_s': ttl_s}),
        ],
        log_function=lambda handler: None,
    )
