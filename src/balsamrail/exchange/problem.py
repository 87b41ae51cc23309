"""Problem details for HTTP APIs, RFC 9457."""

import json
from typing import Any

from tornado.httputil import HTTPHeaders

from balsamrail.errors import RequestError
from balsamrail.exchange.response import Response

_TITLE_BY_OUTCOME = {
    'not_run': 'The request did not run',
    'unknown': 'The outcome of the request is unknown',
    'refused': 'The request is refused',
}


def problem_response(error: RequestError, *, status: int | None = None) -> Response:
    """Return the problem details response for an error.

    The body is JSON, such as::

        {
            'type': 'urn:balsamrail:problem:overloaded',
            'title': 'The request did not run',
            'status': 503,
            'detail': 'no free slot',
            'code': 'overloaded',
            'outcome': 'not_run',
            'retry_after_s': 1,
        }
    """
    status = status or error.status
    problem: dict[str, Any] = {
        'type': f'urn:balsamrail:problem:{error.code}',
        'title': _TITLE_BY_OUTCOME[error.outcome],
        'status': status,
        'detail': error.detail,
        'code': error.code,
        'outcome': error.outcome,
    }
    headers = HTTPHeaders({'Content-Type': 'application/problem+json'})
    if error.retry_after_s is not None:
        problem['retry_after_s'] = error.retry_after_s
        headers['Retry-After'] = str(error.retry_after_s)
    body = json.dumps(problem).encode()
    return Response(status=status, headers=headers, body=body)
