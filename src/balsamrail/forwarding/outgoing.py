"""A request as it is sent to an upstream."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class Outgoing:
    """One attempt: what is written on a connection to an upstream.

    ``echoed_id`` is the ``Request-Id`` that the answer has to carry, ``None`` if the upstream does
    not echo it.
    """

    method: str
    path: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
    echoed_id: str | None = None
