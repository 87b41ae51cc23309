"""A complete answer of an upstream."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class Response:
    """A complete answer, or the system's own problem answer.

    ``body`` has no transfer coding. A content coding is left as the upstream sent it.
    """

    status: int
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
