"""Steps of pipelining.feature: a caller's connection to the real HTTP server."""

import asyncio
import re

import platform_helpers
from behave import then, when
from tornado.httputil import HTTPHeaders
from tornado.netutil import bind_sockets

from balsamrail.delivery.http_message import HttpResponse
from balsamrail.entry.caller_http_server import CallerHttpServer
from balsamrail.platform.caller_server import CallerServer

_BODY_LIMIT = 1_000


class Handler:
    """Takes as long as the path says, as in ``/0.3``."""

    def __init__(self):
        self.requests = []
        self.ended = []
        self.cancelled = []

    def check_headers(self, request):
        pass

    def idempotent_timeout_s(self, request):
        return 2 if request.method == 'GET' and '/idempotent/' in request.path else None

    async def handle(self, request):
        self.requests.append(request)
        try:
            await asyncio.sleep(float(request.path.rpartition('/')[2]))
        except asyncio.CancelledError:
            self.cancelled.append(asyncio.get_running_loop().time())
            raise
        self.ended.append(request.request_id)
        return HttpResponse(
            status=200,
            reason='OK',
            headers=HTTPHeaders({'X-Request-Id': request.request_id}),
            body=b'whole',
            keep_alive=True,
            keep_alive_timeout_s=None,
        )


class Connection:
    """A host's listener for callers and one connection to it."""

    async def __aenter__(self):
        environment = platform_helpers.make_environment()
        self.handler = Handler()
        self.callers = CallerServer(environment=environment, handler=self.handler)
        self.callers.limits = type(self.callers.limits)(body_bytes=_BODY_LIMIT)
        self.streams = []
        self.server = CallerHttpServer(
            self.callers, environment=environment, max_header_size=65_536
        )
        handle_stream = self.server.handle_stream

        def keep_stream(stream, address):
            handle_stream(stream, address)
            self.streams = [connection.stream for connection in self.server._connections]

        self.server.handle_stream = keep_stream
        sockets = bind_sockets(0, '127.0.0.1')
        self.server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        self.reader, self.writer = await asyncio.open_connection('127.0.0.1', port)
        self.sent_at = []
        return self

    async def __aexit__(self, *_):
        self.writer.close()
        self.server.stop()
        await self.server.close_all_connections()

    def send(self, *takes_s, first=0, prefix=''):
        requests = (
            request(number, take_s, prefix) for number, take_s in enumerate(takes_s, start=first)
        )
        self.write(b''.join(requests))

    def write(self, part):
        self.sent_at.append(asyncio.get_running_loop().time())
        self.writer.write(part)

    async def response(self):
        """Return the head of the next response."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        length = re.search(r'(?i)content-length: (\d+)', head)
        await self.reader.readexactly(int(length[1]))
        return head

    async def responses(self, count):
        return [await self.response() for _ in range(count)]

    def arrivals(self):
        return [request.arrived_at for request in self.handler.requests]


def request(number, take_s, prefix=''):
    return (
        f'GET {prefix}/{take_s} HTTP/1.1\r\nHost: lepu.example\r\nX-Request-Id: r-{number}\r\n\r\n'
    ).encode()


def ids(heads):
    return [re.search(r'(?i)x-request-id: (\S+)', head)[1] for head in heads]


def play(main):
    platform_helpers.run_real(main())


@when('one connection carries requests that take 0.3 s, 0 s and 0.1 s at once')
def step_order(context):
    async def main():
        async with Connection() as connection:
            connection.send(0.3, 0, 0.1)
            context.heads = await connection.responses(3)

    play(main)


@then('it gets their responses in that order')
def step_in_order(context):
    assert ids(context.heads) == ['r-0', 'r-1', 'r-2'], context.heads


@when('one connection carries a request that takes 0.5 s, and two more 0.2 s and 0.4 s later')
def step_wait(context):
    async def main():
        async with Connection() as connection:
            connection.send(0.5)
            for number in (1, 2):
                await asyncio.sleep(0.2)
                connection.send(0, first=number)
            await connection.responses(3)
            context.arrivals = connection.arrivals()
            context.parts_sent_at = connection.sent_at
            context.ended = connection.handler.ended

    play(main)


@then('they are handled one after the other')
def step_sequence(context):
    assert context.ended == ['r-0', 'r-1', 'r-2']


@when(
    'one connection carries a request that takes 0.3 s, and parts of two more 0.1 s and 0.2 s later'
)
def step_parts(context):
    async def main():
        async with Connection() as connection:
            later = request(1, 0) + request(2, 0)
            middle = len(request(1, 0)) - 5
            connection.send(0.3)
            await asyncio.sleep(0.1)
            connection.write(later[:middle])
            await asyncio.sleep(0.1)
            connection.write(later[middle:])
            await connection.responses(3)
            context.arrivals = connection.arrivals()
            context.parts_sent_at = connection.sent_at

    play(main)


@then(
    'each counts from the part that ends its headers, the {first:d}., {second:d}. and {third:d}.'
)
def step_arrivals(context, first, second, third):
    for arrived_at, part in zip(context.arrivals, (first, second, third), strict=True):
        sent_at, *later = context.parts_sent_at[part - 1 :]
        assert sent_at <= arrived_at, (context.arrivals, context.parts_sent_at)
        assert not later or arrived_at < later[0], (context.arrivals, context.parts_sent_at)


@when('one connection carries 4 requests that take 2 s each and is closed after 0.1 s')
def step_leave(context):
    async def main():
        async with Connection() as connection:
            connection.send(2, 2, 2, 2)
            await asyncio.sleep(0.1)
            connection.writer.close()
            left_at = asyncio.get_running_loop().time()
            await asyncio.sleep(1)
            context.cancelled_after_s = [at - left_at for at in connection.handler.cancelled]
            context.handled = [each.request_id for each in connection.handler.requests]
            context.in_flight = connection.callers.in_flight

    play(main)


@then('the first is cancelled within 0.5 s and none of the others is handled')
def step_cancelled(context):
    assert context.handled == ['r-0'], context.handled
    assert len(context.cancelled_after_s) == 1
    assert context.cancelled_after_s[0] < 0.5, context.cancelled_after_s


@then('no request counts as in flight')
def step_none(context):
    assert context.in_flight == 0, context.in_flight


@when('a host begins to stop while a caller waits with 3 requests behind the first')
def step_stop(context):
    async def main():
        async with Connection() as connection:
            connection.send(0.3, 0, 0, 0)
            await asyncio.sleep(0.1)
            connection.callers.is_leaving = True
            context.received = (await connection.reader.read()).decode()
            context.handled = [each.request_id for each in connection.handler.requests]

    play(main)


@then('the caller gets one complete response that closes the connection')
def step_closes(context):
    assert context.received.count('HTTP/1.1 200') == 1, context.received
    assert 'Connection: close' in context.received
    assert context.received.endswith('whole')


@then('none of the others is handled')
def step_only_first(context):
    assert context.handled == ['r-0'], context.handled


@when('one connection carries a body above the limit with a request behind it')
def step_large(context):
    body = b'x' * (2 * _BODY_LIMIT)

    async def main():
        async with Connection() as connection:
            head = f'POST /0 HTTP/1.1\r\nHost: lepu.example\r\nContent-Length: {len(body)}\r\n\r\n'
            connection.writer.write(head.encode() + body + request(1, 0))
            context.received = (await connection.reader.read()).decode()
            context.handled = connection.handler.requests

    play(main)


@then('it gets the status 413 on a connection that closes, and nothing is handled')
def step_rejected(context):
    assert context.received.startswith('HTTP/1.1 413'), context.received
    assert context.received.count('HTTP/1.1') == 1
    assert not context.handled


@when('one connection carries 1 MB of requests behind one that takes 0.5 s')
def step_flood(context):
    count = 1_000_000 // len(request(10_000, 0))

    async def main():
        async with Connection() as connection:
            connection.send(0.5)
            connection.send(*[0] * count, first=1)
            peak = 0
            for _ in range(40):
                await asyncio.sleep(0.01)
                peak = max(peak, *(stream._read_buffer_size for stream in connection.streams))
            context.peak_bytes = peak
            context.expected = count + 1
            context.heads = await connection.responses(count + 1)

    platform_helpers.run_real(main(), limit_s=120)


@then('at most 200 kB of them are buffered while it is in progress')
def step_bounded(context):
    assert 0 < context.peak_bytes <= 200_000, context.peak_bytes


@then('all of them are answered')
def step_all(context):
    assert ids(context.heads) == [f'r-{number}' for number in range(context.expected)]


@when('one connection carries idempotent requests that take {takes} s at once')
def step_idempotent(context, takes):
    async def main():
        async with Connection() as connection:
            connection.send(*(float(one) for one in takes.split(', ')), prefix='/idempotent')
            context.heads = await connection.responses(len(takes.split(', ')))
            await asyncio.sleep(0)
            context.ended = connection.handler.ended
            context.in_flight = connection.callers.in_flight

    play(main)


@then('they end in the order {order}')
def step_ended_in_order(context, order):
    assert context.ended == order.split(', '), context.ended
    assert not context.in_flight


@when('one connection carries a request that is not idempotent between idempotent ones')
def step_mixed(context):
    async def main():
        async with Connection() as connection:
            connection.send(0.3, prefix='/idempotent')
            connection.send(0.1, first=1)
            connection.send(0, first=2, prefix='/idempotent')
            context.heads = await connection.responses(3)
            await asyncio.sleep(0)
            context.ended = connection.handler.ended
            context.in_flight = connection.callers.in_flight

    play(main)


@when('a caller with {count:d} idempotent requests in progress leaves')
def step_idempotent_leaves(context, count):
    async def main():
        async with Connection() as connection:
            connection.send(*[2] * count, prefix='/idempotent')
            await asyncio.sleep(0.1)
            context.begun = len(connection.handler.requests)
            connection.writer.close()
            await asyncio.sleep(0.3)
            context.cancelled = len(connection.handler.cancelled)
            context.in_flight = connection.callers.in_flight

    play(main)


@then('{count:d} of them have begun, all these are cancelled and none counts as in flight')
def step_idempotent_cancelled(context, count):
    assert context.begun == count, context.begun
    assert context.cancelled == count, context.cancelled
    assert not context.in_flight


@when('a host begins to stop while idempotent requests of one connection run')
def step_idempotent_stop(context):
    async def main():
        async with Connection() as connection:
            connection.send(0.3, 0.1, 0.2, prefix='/idempotent')
            await asyncio.sleep(0.05)
            connection.callers.is_leaving = True
            context.heads = await connection.responses(3)
            context.rest = await connection.reader.read()

    play(main)


@then('all are answered, and only the last response closes the connection')
def step_idempotent_stopped(context):
    assert ids(context.heads) == ['r-0', 'r-1', 'r-2'], context.heads
    closing = ['connection: close' in head.lower() for head in context.heads]
    assert closing == [False, False, True], context.heads
    assert context.rest == b''
