"""A request as a host took it from a caller."""

from dataclasses import dataclass

from tornado.httputil import HTTPHeaders


@dataclass(slots=True, kw_only=True)
class EntryRequest:
    """One complete request of a caller.

    :param request_id: the caller's own id of this attempt, empty if it sent none.
    :param host: the host name that it asked for, without a port.
    :param path: the path with its query, as sent.
    :param object_key: names the object that the request is about, ``None`` if it does not say.
    :param arrived_at: the loop's time in seconds at which its headers were read.
    :param patience_s: for how long the caller waits from then on, ``None`` if it does not say.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: HTTPHeaders
    object_key: str | None
    arrived_at: float
    patience_s: float | None
    body: bytes = b''
