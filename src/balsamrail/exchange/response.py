"""A complete response of an upstream."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class Response:
    """A complete response of an upstream, or problem details of the host itself.

    ``body`` has no transfer coding. The content coding is that of the upstream.
    """

    status: int
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
