"""A request received from a caller."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from balsamrail.exchange.large_body import RequestBody
from balsamrail.exchange.request_usage import RequestUsage
from balsamrail.proxying.handover import Handover


@dataclass(slots=True, kw_only=True)
class EntryRequest:
    """A complete request of a caller.

    :param request_id: id that the caller gave this attempt, empty if it sent none.
    :param host: requested host name, without a port.
    :param path: path and query string, as sent.
    :param object_key: affinity key of the request, ``None`` if the caller sent none.
    :param credentials: the header with the API key, as sent, empty if there is none.
    :param api_key: the API key in ``credentials``, empty if there is none.
    :param arrived_at: event loop time in seconds at which the end of the headers arrived; the
        request may have waited behind another one of the connection since.
    :param caller_timeout_s: seconds that the caller waits after ``arrived_at``, ``None`` if it did not
        state a timeout.
    :param usage: accounting of its memory, which whoever keeps the request longer has to retain.
    :param handover: set if another host received the request from the caller.
    :param customer_name: the customer that was identified, ``None`` if there is none.
    :param hides_credentials: whether ``credentials`` are removed before the request is sent on, and
        the customer is named instead. Set once customers were in force while the request was in
        progress.
    """

    request_id: str
    method: str
    host: str
    path: str
    headers: HTTPHeaders = field(repr=False)
    object_key: str | None
    arrived_at: float
    caller_timeout_s: float | None
    body: RequestBody = b''
    handover: Handover | None = None
    credentials: str = field(default='', repr=False)
    api_key: str = field(default='', repr=False)
    customer_name: str | None = None
    hides_credentials: bool = False
    usage: RequestUsage | None = None
