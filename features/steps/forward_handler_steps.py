"""Steps of forward_handler.feature: complete hosts on loopback with raw HTTP callers."""

import asyncio
import json

from behave import then, when
from http_host import ask, run_with_host

MB = 1_048_576


def request_text(request):
    """Return the header and the body of a named request."""
    service = 'bookings'
    method, headers, path, body = 'GET', '', '/', b''
    match request:
        case 'an unknown service':
            service = 'none'
        case 'headers of 20 KB':
            headers = f'A: {"x" * 20_000}\n'
        case 'a body of 9 MB':
            method, body = 'POST', bytes(9 * MB)
        case 'a body of 8 MB':
            method, path, body = 'POST', '/echo', bytes(range(256)) * (8 * MB // 256)
        case 'a chunked body of 9 MB':
            method, headers = 'POST', 'Transfer-Encoding: chunked\n'
            chunk = b'100000\r\n' + bytes(MB) + b'\r\n'
            return f'POST /services/bookings/ HTTP/1.1\nHost: x\n{headers}\n', chunk * 9
        case 'a body that stops':
            return 'POST /services/bookings/ HTTP/1.1\nHost: x\nContent-Length: 9\n\n', b'abc'
        case 'a wrong deadline':
            headers = 'Deadline-Ms: soon\n'
        case 'an unknown method':
            method = 'BREW'
        case 'an expired deadline':
            headers = 'Deadline-Ms: 0\n'
        case 'a deadline of 100 ms':
            headers, path = 'Deadline-Ms: 100\n', '/slow'
        case 'a HEAD':
            method = 'HEAD'
        case 'a GET for 204' | 'a GET for 304':
            path = f'/{request[-3:]}'
        case 'a POST':
            method, path, body = 'POST', '/echo', b'posted'
    if body:
        headers += f'Content-Length: {len(body)}\n'
    return f'{method} /services/{service}{path} HTTP/1.1\nHost: x\n{headers}\n', body


@when('a caller sends {request} over HTTP')
def step_ask(context, request):
    text, body = request_text(request)
    context.sent_body = body

    async def script(host, upstream):
        if request.endswith('dead target'):
            upstream.stop()
        return await ask(host.port, text, body=body)

    context.status, context.headers, context.body = run_with_host(script)


@then('the response is a problem with status {status:d}, code {code} and outcome {outcome}')
def step_problem(context, status, code, outcome):
    assert context.status == status, (context.status, context.body)
    assert context.headers['Content-Type'] == 'application/problem+json'
    problem = json.loads(context.body)
    assert (problem['status'], problem['code'], problem['outcome']) == (status, code, outcome)
    assert {'type', 'title', 'detail'} < problem.keys()
    if outcome == 'not_run':
        assert int(context.headers['Retry-After']) == problem['retry_after_s']


@then('the response has status {status:d}, length {length} and body "{body}"')
@then('the response has status {status:d}, length {length} and body ""')
def step_passed_on(context, status, length, body=''):
    assert context.status == status, context.status
    assert context.headers.get('Content-Length', 'none') == length, context.headers.items()
    assert context.body == (context.sent_body if body == 'the same' else body.encode())


@when('a caller sends a slow {method} over HTTP and closes its connection')
def step_close(context, method):
    async def script(host, upstream):
        text = f'{method} /services/bookings/slow HTTP/1.1\nHost: x\nContent-Length: 0\n\n'
        try:
            await ask(host.port, text, timeout_s=0.1)
        except TimeoutError:
            await asyncio.sleep(0.4)
        assert host.forwarder.in_flight() == 0
        return upstream.closed_early

    context.closed_early = run_with_host(script)


@then('the upstream saw {count:d} cancelled requests')
def step_cancelled(context, count):
    assert context.closed_early == count
