"""A request as a caller sent it."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One complete request of a caller.

    ``path`` begins with a slash, has no service prefix and keeps its query. ``deadline`` is the
    loop's time in seconds at which the caller gives up, ``None`` if it named no deadline.
    """

    method: str
    service: str
    path: str
    caller: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
    deadline: float | None = None
