"""HTTP messages between hosts: a caller's request that one host sends through another."""

import re
from urllib.parse import quote, unquote

from tornado.httputil import HTTPHeaders

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpRequest, HttpResponse
from balsamrail.errors import RequestError
from balsamrail.exchange.hop_headers import end_to_end_headers
from balsamrail.platform import headers
from balsamrail.platform.customer_headers import ForwardedHeaders
from balsamrail.proxying.handover import Handover
from balsamrail.proxying.proxy_reply import (
    ProxyAnswer,
    ProxyFailure,
    ProxyRefusal,
    ProxyReply,
)

_MS_IN_S = 1_000
# Bounds the header; a request is sent to few targets.
_MAX_IDS = 16
_FORWARDED_HEADERS = ForwardedHeaders(
    without=frozenset(('content-length', headers.TIMEOUT_MS.lower(), headers.HANDOVER.lower()))
)
_COUNT_FORMAT = re.compile(r'\d{1,3}', re.ASCII)
_SECONDS_FORMAT = re.compile(r'\d{1,6}(\.\d{1,6})?', re.ASCII)
_ANSWERED = 'answered'
_NOT_RUN_OUTCOMES = frozenset(('not_run', 'refused'))
_TIMED_OUT_CODE = 'outcome_unknown'


class ProxyProtocol:
    """Encodes requests to other hosts and their replies.

    The request is the caller's, with the time that is left and the header ``Balsamrail-Handover``,
    as in ``origin=attiki-a-1 attempts=2 tried=i-1,i-2 customer=acme``. The reply has the same header, as in
    ``outcome=not_run code=no_target sent=``. Implements
    :class:`balsamrail.proxying.proxy_codec.ProxyCodec`.
    """

    def encode_request(
        self, request: EntryRequest, *, handover: Handover, left_s: float
    ) -> HttpRequest:
        """Return a caller's request as it is sent to another host."""
        fields = _FORWARDED_HEADERS.of(request)
        fields[headers.TIMEOUT_MS] = str(max(1, int(left_s * _MS_IN_S)))
        fields[headers.HANDOVER] = _encode_fields(
            origin=quote(handover.origin, safe=''),
            attempts=str(handover.max_attempts),
            tried=_encode_ids(handover.tried),
            **_encode_customer(handover),
        )
        return HttpRequest(
            method=request.method, path=request.path, headers=fields, body=request.body
        )

    def decode_reply(self, request: EntryRequest, response: HttpResponse) -> ProxyReply:
        """Return what another host responded; without its header, the outcome is unknown."""
        fields = _decode_fields(response.headers.get(headers.HANDOVER, ''))
        attempted = _decode_ids(fields.get('sent', ''))
        code = fields.get('code', '')
        response.headers = end_to_end_headers(
            response.headers, without=frozenset((headers.HANDOVER.lower(),))
        )
        if response.headers.get(headers.REQUEST_ID, '') != request.request_id:
            return ProxyFailure(code='foreign_response', has_timed_out=False, attempted=attempted)
        outcome = fields.get('outcome')
        if outcome == _ANSWERED:
            return ProxyAnswer(response=response, attempted=attempted)
        if outcome in _NOT_RUN_OUTCOMES:
            retry_after = response.headers.get(headers.RETRY_AFTER, '')
            return ProxyRefusal(
                code=code,
                retry_after_s=float(retry_after) if _SECONDS_FORMAT.fullmatch(retry_after) else 0,
                attempted=attempted,
            )
        return ProxyFailure(code=code, has_timed_out=code == _TIMED_OUT_CODE, attempted=attempted)


def decode_handover(fields: HTTPHeaders) -> Handover | None:
    """Return the handover in the headers of a request, ``None`` if there is no valid one."""
    values = _decode_fields(fields.get(headers.HANDOVER, ''))
    attempts = values.get('attempts', '')
    customer = values.get('customer', '')
    if not values.get('origin') or not _COUNT_FORMAT.fullmatch(attempts):
        return None
    return Handover(
        origin=unquote(values['origin']),
        max_attempts=int(attempts),
        tried=_decode_ids(values.get('tried', '')),
        customer=unquote(customer) if customer else None,
    )


def encode_outcome(handover: Handover, *, error: RequestError | None) -> str:
    """Return the header of the reply to a request of another host.

    :param error: why there is no response of a target, ``None`` if there is one.
    """
    return _encode_fields(
        outcome=_ANSWERED if error is None else error.outcome,
        code='' if error is None else error.code,
        sent=_encode_ids(handover.attempted),
    )


def _encode_customer(handover: Handover) -> dict[str, str]:
    return {} if handover.customer is None else {'customer': quote(handover.customer, safe='')}


def _encode_fields(**fields: str) -> str:
    return ' '.join(f'{name}={value}' for name, value in fields.items())


def _decode_fields(text: str) -> dict[str, str]:
    pairs = (field.partition('=') for field in text.split())
    return {name: value for name, _, value in pairs}


def _encode_ids(ids: tuple[str, ...] | list[str]) -> str:
    return ','.join(quote(one, safe='') for one in ids[:_MAX_IDS])


def _decode_ids(text: str) -> tuple[str, ...]:
    return tuple(unquote(one) for one in text.split(',')[:_MAX_IDS] if one)
