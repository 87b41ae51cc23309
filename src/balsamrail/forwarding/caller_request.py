"""A request received from a caller."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One complete request of a caller.

    ``path`` begins with a slash and includes the query, but not the service prefix. ``deadline``
    is the event loop time in seconds, ``None`` if the caller set no deadline.
    """

    method: str
    service: str
    path: str
    caller: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
    deadline: float | None = None
