"""Decodes callers' requests and encodes the host's own answers to them."""

import math
import re
from http import HTTPStatus
from urllib.parse import unquote

from tornado import httputil

from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.errors import RequestError, UnknownKeyError
from balsamrail.exchange.caller_stream import CallerStream
from balsamrail.exchange.problem import problem_response
from balsamrail.platform import headers
from balsamrail.platform.customer_headers import KEY_SCHEME, parse_key
from balsamrail.platform.proxy_protocol import decode_handover

_MS_IN_S = 1_000
_TIMEOUT_FORMAT = re.compile(r'\d{1,9}(\.\d{1,6})?', re.ASCII)


def decode_request(
    start_line: httputil.RequestStartLine,
    request_headers: httputil.HTTPHeaders,
    *,
    stream: CallerStream,
) -> EntryRequest:
    """Return a request whose headers have just been read from ``stream``, without its body."""
    timeout_ms = request_headers.get(headers.TIMEOUT_MS, '')
    caller_timeout_s = (
        float(timeout_ms) / _MS_IN_S if _TIMEOUT_FORMAT.fullmatch(timeout_ms) else None
    )
    credentials = request_headers.get(headers.AUTHORIZATION, '')
    return EntryRequest(
        request_id=request_headers.get(headers.REQUEST_ID, ''),
        method=start_line.method,
        host=request_headers.get('Host', '').partition(':')[0].lower(),
        path=start_line.path,
        headers=request_headers,
        object_key=_object_key(request_headers.get('Cookie', '')),
        arrived_at=stream.consumed_at(),
        caller_timeout_s=caller_timeout_s,
        credentials=credentials,
        api_key=parse_key(credentials) if credentials else '',
        handover=decode_handover(request_headers) if stream.is_from_peer else None,
    )


def problem_answer(error: RequestError, *, request_id: str) -> HttpResponse:
    """Return the answer to a request that failed.

    :param request_id: id that the caller gave the request, empty if it sent none.
    """
    problem = problem_response(error)
    if error.retry_after_s is not None:
        problem.headers[headers.RETRY_AFTER] = f'{math.ceil(error.retry_after_s * 100) / 100:g}'
    if isinstance(error, UnknownKeyError):
        problem.headers[headers.CHALLENGE] = KEY_SCHEME
    if request_id:
        problem.headers[headers.REQUEST_ID] = request_id
    return HttpResponse(
        status=problem.status,
        reason=HTTPStatus(problem.status).phrase,
        headers=problem.headers,
        body=problem.body,
        keep_alive=True,
        keep_alive_timeout_s=None,
    )


def _object_key(cookies: str) -> str | None:
    for pair in cookies.split(';'):
        name, _, value = pair.strip().partition('=')
        if name == headers.AFFINITY_COOKIE:
            return unquote(value)
    return None
