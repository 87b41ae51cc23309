"""A request as it is sent to an upstream."""

from dataclasses import dataclass, field

from tornado.httputil import HTTPHeaders

from balsamrail.exchange.hop_headers import end_to_end_headers
from balsamrail.forwarding.plan import Plan

_MS_IN_S = 1_000
_REPLACED_HEADERS = frozenset(
    ('balsamrail-passed-on', 'content-length', 'deadline-ms', 'request-id')
)


@dataclass(slots=True, kw_only=True)
class UpstreamRequest:
    """The request that one attempt writes to an upstream connection.

    ``expected_request_id`` is the ``Request-Id`` that the response must have, ``None`` if the
    upstream does not echo it. ``needs_new_connection`` is set if the response is only known to
    belong to the request when the connection has carried no other one.
    """

    method: str
    path: str
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    body: bytes = b''
    expected_request_id: str | None = None
    needs_new_connection: bool = False


def make_upstream_request(
    plan: Plan, *, address: str, request_id: str, now: float
) -> UpstreamRequest:
    """Return the request that is sent to the target at ``address``.

    :param now: event loop time in seconds, used to compute ``Deadline-Ms``.
    """
    headers = end_to_end_headers(plan.request.headers, without=_REPLACED_HEADERS)
    headers['Deadline-Ms'] = str(max(1, int((plan.deadline - now) * _MS_IN_S)))
    headers['Request-Id'] = request_id
    headers.setdefault('Host', address)
    return UpstreamRequest(
        method=plan.request.method,
        path=plan.request.path,
        headers=headers,
        body=plan.request.body,
        expected_request_id=request_id if plan.service.echoes_request_id else None,
        needs_new_connection=_needs_new_connection(plan),
    )


def _needs_new_connection(plan: Plan) -> bool:
    # A refusal that a target repeats would let the request run at another target as well.
    is_attributable = plan.route.idempotent or plan.service.echoes_request_id
    return not is_attributable and bool(plan.service.refusal_statuses)
