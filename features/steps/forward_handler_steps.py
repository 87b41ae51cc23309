"""Steps of forward_handler.feature: whole hosts on loopback with raw callers."""

import asyncio
import json
import random
from email.parser import Parser

from behave import then, when
from forwarding_parts import (
    Members,
    PeerNetwork,
    RawUpstream,
    Router,
    Tracker,
    make_declaration,
    make_environment,
    whole,
)
from platform_helpers import make_member
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from balsamrail.forwarding import (
    Forwarder,
    ForwardHandler,
    UnknownPathHandler,
    make_key_prefix,
    server_arguments,
)

MB = 1_048_576


class HttpHost:
    """A forwarder behind a listener."""

    def __init__(self, addresses, *, members=None, host='attiki-1', **fields):
        self.environment = make_environment(host=host, body_timeout_s=0.3)
        self.forwarder = Forwarder(
            environment=self.environment,
            tracker=Tracker(make_declaration(addresses, **fields)),
            router=Router(),
            network=PeerNetwork(),
            members=Members() if members is None else members,
        )
        self.collaborators = {'forwarder': self.forwarder, 'environment': self.environment}
        application = Application(
            [(ForwardHandler.pattern, ForwardHandler, self.collaborators)],
            default_handler_class=UnknownPathHandler,
        )
        self.server = HTTPServer(application, **server_arguments(self.environment.settings.limits))
        sockets = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        self.port = sockets[0].getsockname()[1]

    def stop(self):
        self.server.stop()
        self.forwarder._pool.close()


async def ask(port, text, *, body=b'', give_up_s=3):
    """Return status, headers and body that a host sends before it closes the connection."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(text.replace('\n', '\r\n').encode())
    writer.write(body)
    try:
        async with asyncio.timeout(give_up_s):
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            start, _, lines = head.partition('\r\n')
            headers = Parser().parsestr(lines)
            status = int(start.split()[1])
            length = int(headers.get('Content-Length', 0))
            if text.startswith('HEAD') or status in {204, 304}:
                length = 0
            return status, headers, await reader.readexactly(length)
    finally:
        writer.close()


def request_text(request):
    """Return the head and the body of a named request."""
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


async def upstream_answer(upstream, head, writer):
    method, path = head.split()[:2]
    match path:
        case '/slow':
            await asyncio.sleep(0.3)
            writer.write(whole())
        case '/204' | '/304':
            writer.write(f'HTTP/1.1 {path[1:]} X\r\n\r\n'.encode())
        case '/echo':
            writer.write(whole(upstream.bodies[-1]))
        case _:
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n')
            if method == 'GET':
                writer.write(b'GET /')


async def start_upstream():
    upstream = RawUpstream(lambda *_: upstream_answer(upstream, upstream.heads[-1], _[-1]))
    return await upstream.start()


def run_with_host(script):
    async def main():
        upstream = await start_upstream()
        host = HttpHost([upstream.address], deadline_ms=2_000)
        try:
            return await script(host, upstream)
        finally:
            host.stop()
            upstream.stop()

    return asyncio.run(main())


@when('a caller sends {request} over HTTP')
def step_ask(context, request):
    text, body = request_text(request)
    context.sent_body = body

    async def script(host, upstream):
        if request.endswith('dead target'):
            upstream.stop()
        return await ask(host.port, text, body=body)

    context.status, context.headers, context.body = run_with_host(script)


@then('the answer is a problem with status {status:d}, code {code} and outcome {outcome}')
def step_problem(context, status, code, outcome):
    assert context.status == status, (context.status, context.body)
    assert context.headers['Content-Type'] == 'application/problem+json'
    problem = json.loads(context.body)
    assert (problem['status'], problem['code'], problem['outcome']) == (status, code, outcome)
    assert {'type', 'title', 'detail'} < problem.keys()
    if outcome == 'not_run':
        assert int(context.headers['Retry-After']) == problem['retry_after_s']


@then('the answer has status {status:d}, length {length} and body "{body}"')
@then('the answer has status {status:d}, length {length} and body ""')
def step_passed_on(context, status, length, body=''):
    assert context.status == status, context.status
    assert context.headers.get('Content-Length', 'none') == length, context.headers.items()
    assert context.body == (context.sent_body if body == 'the same' else body.encode())


@when('a caller sends a slow {method} over HTTP and closes its connection')
def step_close(context, method):
    async def script(host, upstream):
        text = f'{method} /services/bookings/slow HTTP/1.1\nHost: x\nContent-Length: 0\n\n'
        try:
            await ask(host.port, text, give_up_s=0.1)
        except TimeoutError:
            await asyncio.sleep(0.4)
        assert host.forwarder.in_flight() == 0
        return upstream.closed_early

    context.closed_early = run_with_host(script)


@then('the upstream saw {count:d} cancelled requests')
def step_cancelled(context, count):
    assert context.closed_early == count


@when(
    '{count:d} callers send requests over kept connections while upstreams cut, delay and cross answers'
)
def step_many(context, count):
    context.answers = asyncio.run(many(count, random.Random(context.seed)))


async def many(count, choices):
    crossed = []

    async def answer(number, headers, writer):
        text = whole(headers['caller'].encode() * 50, Request_Id=headers['request-id'])
        match choices.choice('wwwwcdx'):
            case 'c':
                writer.write(text[: choices.randrange(len(text))])
                writer.close()
                return
            case 'd':
                await asyncio.sleep(choices.uniform(0, 0.3))
            case 'x':
                crossed.append(text)
                text = choices.choice(crossed)
        writer.write(text)

    upstreams = [await RawUpstream(answer).start() for _ in range(3)]
    host = HttpHost(
        [upstream.address for upstream in upstreams], echoes_request_id=True, deadline_ms=200
    )
    try:
        return await asyncio.gather(*(one_caller(host.port, number) for number in range(count)))
    finally:
        host.stop()
        for upstream in upstreams:
            upstream.stop()


async def one_caller(port, number):
    name = f'caller-{number}.'
    text = f'GET /services/bookings/ HTTP/1.1\nHost: x\nCaller: {name}\nRequest-Id: {name}\n\n'
    await asyncio.sleep(number / 200)
    return name, await ask(port, text)


@then('each caller gets its own complete answer or a problem')
def step_own(context):
    complete = 0
    for name, (status, headers, body) in context.answers:
        assert headers['Request-Id'] == name or status in {503, 504}
        if status == 200:
            complete += 1
            assert body == name.encode() * 50, (name, body)
        else:
            assert json.loads(body)['outcome'] in {'unknown', 'not_run'}
    # Without complete answers the scenario would prove nothing.
    assert complete > len(context.answers) / 3, complete


@when('a caller sends the same keyed booking to two hosts')
def step_two_hosts(context):
    async def main():
        upstream = await start_upstream()
        members = Members()
        hosts = [
            HttpHost([upstream.address], members=members, host=name)
            for name in ('attiki-1', 'attiki-2')
        ]
        for host in hosts:
            settings, incarnation = host.environment.settings, host.environment.incarnation
            members[settings.host] = make_member(
                settings.host,
                incarnation=incarnation,
                caller_address=f'127.0.0.1:{host.port}',
            )
        expiry_wall_s = hosts[0].environment.clock.wall() + 60
        prefix = make_key_prefix(
            host='attiki-1',
            incarnation=hosts[0].environment.incarnation,
            expiry_wall_s=expiry_wall_s,
        )
        head = f'POST /services/bookings/echo HTTP/1.1\nHost: x\nIdempotency-Key: {prefix}.1\n'
        head += 'Content-Length: 4\n\n'
        answers = [await ask(host.port, head, body=b'book') for host in reversed(hosts)]
        for host in hosts:
            host.stop()
        upstream.stop()
        return len(upstream.heads), [(status, body) for status, _, body in answers]

    context.runs, context.answers = asyncio.run(main())


@then('both give the answer of the only run')
def step_only_run(context):
    assert context.runs == 1
    assert context.answers == [(200, b'book')] * 2, context.answers


@when('a caller sends lookups while the kept connections go silent')
def step_silent(context):
    context.answers = asyncio.run(silent())


async def silent():
    served = set()
    is_silent = False

    async def answer(number, headers, writer):
        # The writers themselves, since the id of a closed one may be used again.
        if is_silent and writer in served:
            await asyncio.sleep(10)
        served.add(writer)
        await asyncio.sleep(0.02)
        writer.write(whole())

    upstreams = [await RawUpstream(answer).start() for _ in range(2)]
    host = HttpHost([upstream.address for upstream in upstreams], deadline_ms=800)
    text = 'GET /services/bookings/ HTTP/1.1\nHost: x\n\n'
    try:
        await asyncio.gather(*(ask(host.port, text) for _ in range(4)))
        is_silent = True
        return [await ask(host.port, text) for _ in range(6)]
    finally:
        host.stop()
        for upstream in upstreams:
            upstream.stop()


@then('each lookup gets its answer within the deadline')
def step_lookups(context):
    assert [status for status, _, _ in context.answers] == [200] * 6


@when('a caller sends a request to targets that shed with Retry-After {retry_after_s:d}')
def step_shed(context, retry_after_s):
    async def answer(number, headers, writer):
        text = f'HTTP/1.1 503 X\r\nRetry-After: {retry_after_s}\r\nContent-Length: 0\r\n\r\n'
        writer.write(text.encode())

    async def main():
        upstream = await RawUpstream(answer).start()
        host = HttpHost([upstream.address], refusal_statuses=[503])
        try:
            return await ask(host.port, 'POST /services/bookings/ HTTP/1.1\nHost: x\n\n')
        finally:
            host.stop()
            upstream.stop()

    context.status, context.headers, context.body = asyncio.run(main())


@then('the caller is asked to come back after {retry_after_s:d} s')
def step_retry_after(context, retry_after_s):
    assert context.headers['Retry-After'] == str(retry_after_s)


class BrokenForwarder:
    def __init__(self, error):
        self.error = error

    async def handle(self, request):
        raise self.error


@when('a caller sends a request to a host whose forwarder raises {name}')
def step_broken(context, name):
    error = {'CancelledError': asyncio.CancelledError, 'ValueError': ValueError}[name]

    async def script(host, upstream):
        host.collaborators['forwarder'] = BrokenForwarder(error())
        return await ask(host.port, 'GET /services/bookings/ HTTP/1.1\nHost: x\n\n')

    context.status, context.headers, context.body = run_with_host(script)
