"""HTTP requests and responses as sent over a connection."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from balsamrail.exchange.large_body import RequestBody


@dataclass(slots=True, kw_only=True)
class HttpRequest:
    """A request to send; ``Content-Length`` is added for the body."""

    method: str
    path: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: RequestBody = b''


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A complete response.

    :param keep_alive: whether the connection may be reused for another request.
    :param keep_alive_timeout_s: idle timeout announced in ``Keep-Alive``, in seconds, ``None`` if not announced.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    body: bytes
    keep_alive: bool
    keep_alive_timeout_s: float | None
