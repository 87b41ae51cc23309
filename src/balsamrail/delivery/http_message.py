"""A request and an answer as they stand on a connection."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """What is written on a connection; the body goes out with its length."""

    method: str
    path: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''


@dataclass(slots=True, kw_only=True)
class HttpAnswer:
    """A complete answer.

    :param keeps_open: whether the connection may carry another request.
    :param idle_s: how long the other side keeps the connection when idle, ``None`` if it does not
        say so.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    body: bytes
    keeps_open: bool
    idle_s: float | None
