"""Steps of misbehaving_callers.feature for single decisions."""

import asyncio
import contextlib
import json
import random
import socket
import tracemalloc

from behave import given, then, when
from caller_crowd import head_of
from entry_stop_steps import HostProcess
from misbehaving_callers_steps import PLATFORM_LIMITS
from pipelining_steps import Connection
from platform_helpers import RecordedLog, make_environment, run_real
from tornado.httpclient import AsyncHTTPClient
from virtual_time import run_virtual

from balsamrail.errors import BodyTimeoutError, CallerMemoryError
from balsamrail.exchange.body_collector import BodyCollector
from balsamrail.exchange.connection_limiter import ConnectionLimiter
from balsamrail.exchange.large_body import pieces_of
from balsamrail.platform.headers import HANDOVER
from balsamrail.settings import Limits

MEMORY_MB = 8
MB = 1_000_000
RUN_S = 40


class Request:
    """A request whose memory is counted."""

    def __init__(self, memory, *, header_bytes, reception_bytes=0):
        self.errors = []
        self.is_complete = False
        self.was_complete = False
        self.memory = memory
        self.usage = memory.open(
            header_bytes=header_bytes, reception_bytes=reception_bytes, refuse=self._refuse
        )
        memory.hold(self.usage)

    def _refuse(self, error):
        self.was_complete = self.is_complete
        self.errors.append(error)

    def complete(self):
        if not self.errors:
            self.is_complete = True
            self.memory.complete(self.usage)


def environment_of(**limits):
    return make_environment(
        memory_mb=MEMORY_MB, log=RecordedLog(), limits=Limits(caller_memory_mb=1, **limits)
    )


@when('requests are opened, received, completed and released in any order')
def step_any_order(context):
    async def main():
        chance = random.Random(context.seed)
        memory = environment_of().caller_memory
        requests, ended = [], []
        context.sums, context.over = [], []
        for _ in range(3_000):
            match chance.choice(('open', 'body', 'body', 'body', 'complete', 'end', 'pass')):
                case 'open':
                    requests.append(
                        Request(
                            memory, header_bytes=chance.randrange(5_000), reception_bytes=32_768
                        )
                    )
                case 'body' if requests:
                    each = chance.choice(requests)
                    if not each.is_complete:
                        memory.add_body(each.usage, chance.randrange(200_000))
                case 'complete' if requests:
                    chance.choice(requests).complete()
                case 'end' if requests:
                    each = requests.pop(chance.randrange(len(requests)))
                    each.usage.release()
                    ended.append(each)
                case 'pass':
                    await asyncio.sleep(chance.random())
            held = sum(each.usage.held_bytes for each in requests if not each.errors)
            context.sums.append((memory.used_bytes, held))
            if memory.used_bytes > memory.limit_bytes:
                context.over += [each for each in requests if not each.errors]
                context.over_complete = all(each.is_complete for each in context.over)
        context.requests = requests + ended

    context.over_complete = True
    run_virtual(main())


@then('the counted bytes are those of the open requests, and only incomplete ones are refused')
def step_sums(context):
    assert all(used == held for used, held in context.sums)
    refused = [each for each in context.requests if each.errors]
    assert len(refused) > 10
    assert not any(each.was_complete or len(each.errors) > 1 for each in refused)
    assert all(isinstance(each.errors[0], CallerMemoryError) for each in refused)


@then('the limit is exceeded only by complete requests')
def step_limit(context):
    assert context.over_complete


@when('small requests arrive after bodies that stopped short of their end have filled the memory')
def step_small(context):
    async def main():
        memory = environment_of().caller_memory
        context.large = [Request(memory, header_bytes=1_000) for _ in range(9)]
        for each in context.large:
            memory.add_body(each.usage, 108_000)
        await asyncio.sleep(1)
        context.small = [Request(memory, header_bytes=4_000) for _ in range(50)]

    run_virtual(main())


@then('only bodies are refused')
def step_bodies_refused(context):
    assert not any(each.errors for each in context.small)
    assert any(each.errors for each in context.large)


class Connecting:
    """A connection whose header is incomplete."""

    def __init__(self):
        self.is_cut_off = False

    def may_be_cut_off(self):
        return not self.is_cut_off

    def cut_off(self):
        self.is_cut_off = True


@when('small requests arrive after incomplete headers have filled the memory')
def step_incomplete_headers(context):
    async def main():
        memory = environment_of().caller_memory
        context.connections = [Connecting() for _ in range(20)]
        for each in context.connections:
            memory.set_buffered(each, 50_000)
        assert memory.used_bytes == memory.limit_bytes
        context.small = [Request(memory, header_bytes=4_000) for _ in range(50)]

    run_virtual(main())


@then('only connections with incomplete headers are closed')
def step_headers_closed(context):
    assert not any(each.errors for each in context.small)
    assert 3 < sum(each.is_cut_off for each in context.connections) < 8


@when(
    'bodies arrive at {slow:d} and {fast:d} bytes per second, and one waits behind another request'
)
def step_slow(context, slow, fast):
    async def main():
        memory = environment_of().caller_memory
        now = asyncio.get_running_loop().time()
        context.sent = {rate: Request(memory, header_bytes=100) for rate in (slow, fast, 0)}
        for rate in (slow, fast):
            context.sent[rate].usage.body_since = now
        context.refused_at = {}
        for second in range(1, 41):
            await asyncio.sleep(1)
            for rate, each in context.sent.items():
                memory.add_body(each.usage, rate)
            memory.refuse_slow()
            for rate, each in context.sent.items():
                if each.errors:
                    context.refused_at.setdefault(rate, second)
        context.slow = slow

    run_virtual(main())


@then('only the slow one is refused, as 408, within {limit:d} s')
def step_slow_refused(context, limit):
    assert list(context.refused_at) == [context.slow], context.refused_at
    assert 5 <= context.refused_at[context.slow] <= limit, context.refused_at
    (error,) = context.sent[context.slow].errors
    assert isinstance(error, BodyTimeoutError) and error.status == 408


@when('1000 callers are cut off within a second and one 15 s later')
def step_cut_off(context):
    async def main():
        environment = environment_of()
        for _ in range(1_000):
            environment.caller_refusals.note('memory')
            await asyncio.sleep(0.001)
        await asyncio.sleep(15)
        environment.caller_refusals.note('connections')
        context.lines = [
            line for line in environment.log._logger._output.lines if 'callers_cut_off' in line
        ]

    run_virtual(main())


@then('there are 2 log lines, which account for all of them')
def step_lines(context):
    fields = [dict(part.split('=') for part in line.split()) for line in context.lines]
    assert [each.get('memory') for each in fields] == ['1', '999'], context.lines
    assert fields[-1]['connections'] == '1'


@when('the body of a request arrives in {count:d} pieces of 2 bytes')
def step_pieces(context, count):
    collector = BodyCollector()
    context.sent_body = bytes(range(256)) * (count // 128)
    pieces = [context.sent_body[at : at + 2] for at in range(0, 2 * count, 2)]
    tracemalloc.start()
    try:
        for piece in pieces:
            collector.append(bytes(bytearray(piece)))
        context.peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    context.body = collector.take()
    context.size = collector.size


@then('that body takes less than 1 MB of memory and is complete')
def step_piece_memory(context):
    assert context.peak_bytes < MB, context.peak_bytes
    assert b''.join(pieces_of(context.body)) == context.sent_body
    assert len(context.body) == context.size == len(context.sent_body)


class TightHost(HostProcess):
    """A host process with the limits of the platform and connections to it."""

    def __init__(self, **settings):
        super().__init__(**settings)
        self.writers = []

    def manifest(self):
        document = super().manifest()
        (entry,) = [item for item in document['resources'] if item['entryKind'] == 'limits']
        entry['spec'] = PLATFORM_LIMITS
        return document

    async def open(self, *parts):
        number, _, port = self.address.rpartition(':')
        reader, writer = await asyncio.open_connection(number, int(port))
        # A writer closes its connection when it is freed.
        self.writers.append(writer)
        for part in parts:
            writer.write(part)
            await writer.drain()
        return reader, writer

    async def until_run(self, path):
        """Wait until a request for ``path`` has reached the target."""
        while not any(path in head for head in self.target.upstream.heads):  # noqa: ASYNC110
            await asyncio.sleep(0.02)

    async def metrics(self):
        url = f'http://{self.addresses["operator_address"]}/metrics'
        page = (await AsyncHTTPClient(force_instance=True).fetch(url)).body.decode()
        lines = [line for line in page.splitlines() if not line.startswith('#')]
        return {name: float(value) for name, value in (line.rsplit(' ', 1) for line in lines)}


def _host(context, limits):
    async def run(script):
        async with TightHost(limits=limits) as host:
            await script(host)

    context.play = lambda script: run_real(run(script), limit_s=RUN_S)


@given('a process of a host with {memory:d} MB for the requests of callers')
def step_tight(context, memory):
    _host(context, {'caller_memory_mb': memory})


@given('a process of a host with {count:d} connections for callers')
def step_few_connections(context, count):
    _host(context, {'caller_connections': count})


@when('a caller stops short of the end of {size:d} bytes, and another one sends as many')
def step_two(context, size):
    async def script(host):
        def head(name):
            length = f'Content-Length: {size}\r\nX-Caller: {name}'
            return head_of('POST', '/write/0', length)

        first, _ = await host.open(head('first'), bytes(size - 1))
        await asyncio.sleep(0.3)
        second, _ = await host.open(head('second'), bytes(size))
        context.second = (await second.readuntil(b'\r\n\r\n')).decode()
        context.first = (await first.read()).decode()
        context.heads = host.target.upstream.heads
        context.metrics = await host.metrics()

    context.play(script)


@then('the first is refused as not run with caller_memory, and the second is answered')
def step_first_refused(context):
    head, _, body = context.first.partition('\r\n\r\n')
    assert head.startswith('HTTP/1.1 503') and 'Retry-After: ' in head, head
    problem = json.loads(body)
    assert (problem['code'], problem['outcome']) == ('caller_memory', 'not_run'), problem
    assert context.second.startswith('HTTP/1.1 200'), context.second
    assert not [head for head in context.heads if 'X-Caller: first' in head]


@then('the host counts and logs one caller that was cut off')
def step_counted(context):
    assert context.metrics['balsamrail_callers_cut_off_memory_total'] == 1
    assert context.metrics['balsamrail_problems_caller_memory_total'] == 1


@when('the caller of a non-idempotent request with {size:d} bytes leaves while it runs')
def step_leaves(context, size):
    async def script(host):
        head = head_of('POST', '/write/2', f'Content-Length: {size}')
        _, writer = await host.open(head, bytes(size))
        await host.until_run('/write/2')
        writer.close()
        await asyncio.sleep(0.5)
        context.while_it_runs = (await host.metrics())['balsamrail_caller_memory_bytes']
        await asyncio.sleep(2.5)
        context.afterwards = (await host.metrics())['balsamrail_caller_memory_bytes']
        context.size = size

    context.play(script)


@then('its bytes are counted until the run has ended')
def step_counted_bytes(context):
    assert context.size <= context.while_it_runs <= context.size + 20_000, context.while_it_runs
    assert context.afterwards == 0, context.afterwards


@when('{count:d} idle connections are opened while a request runs')
def step_idle(context, count):
    async def script(host):
        reader, _ = await host.open(head_of('POST', '/write/1.5', 'Content-Length: 0'))
        await host.until_run('/write/1.5')
        idle = [(await host.open())[0] for _ in range(count)]
        context.response = (await reader.readuntil(b'\r\n\r\n')).decode()
        await asyncio.sleep(0.2)
        context.open_count = 1 + sum(not each.at_eof() for each in idle)

    context.play(script)


@then('that request is answered, and all but {count:d} connections are closed')
def step_request_answered(context, count):
    assert context.response.startswith('HTTP/1.1 200'), context.response
    assert context.open_count == count, context.open_count


class Stream:
    """A connection with an unread response, or a new one."""

    def __init__(self, *, is_unread):
        self.is_unread = is_unread
        self.is_closed = False

    def writing(self):
        return self.is_unread

    def close(self):
        self.is_closed = True


@when('{count:d} connections with unread responses and a new one exceed a limit of {limit:d}')
def step_unread(context, count, limit):
    async def main():
        limiter = ConnectionLimiter(
            limit=limit,
            refusals=environment_of().caller_refusals,
            is_handling=lambda stream: stream.is_unread,
        )
        context.streams = [Stream(is_unread=number < count) for number in range(count + 1)]
        for stream in context.streams:
            limiter.add(stream)

    run_virtual(main())


@then('the oldest one is closed and the new one is not')
def step_oldest(context):
    closed = [stream.is_closed for stream in context.streams]
    assert closed == [True, *[False] * (len(closed) - 1)], closed


@when('a caller sends a body to a path without a route and reads only after that')
def step_rejected(context):
    async def script(host):
        head = head_of('POST', '/elsewhere', 'Content-Length: 5000000')
        reader, writer = await host.open(head, bytes(1_000))
        context.response = b''
        with contextlib.suppress(ConnectionError):
            for _ in range(4):
                await asyncio.sleep(0.1)
                writer.write(bytes(100_000))
                await writer.drain()
            context.response = await reader.readuntil(b'\r\n\r\n')

    context.play(script)


@then('it gets the response 404')
def step_404(context):
    assert context.response.startswith(b'HTTP/1.1 404'), context.response


@when('another host sends it a request with {size:d} bytes')
def step_handover(context, size):
    async def script(host):
        handover = f'{HANDOVER}: origin=attiki-9 attempts=2 tried='
        head = head_of('POST', '/write/0', f'Content-Length: {size}\r\n{handover}')
        host.address = host.addresses['peer_address']
        reader, _ = await host.open(head, bytes(size))
        context.response = (await reader.readuntil(b'\r\n\r\n')).decode()

    context.play(script)


@then("that host is told that the request has not run, with the request's id")
def step_told(context):
    assert context.response.startswith('HTTP/1.1 503'), context.response
    assert f'{HANDOVER}: outcome=not_run code=caller_memory sent=\r\n' in context.response
    assert 'X-Request-Id: c\r\n' in context.response, context.response


@when('the body of a request arrives in {count:d} segments of a byte')
def step_segments(context, count):
    async def main():
        async with Connection() as connection:
            connection.write(head_of('POST', '/0', f'Content-Length: {count + 1}'))
            connection.writer.get_extra_info('socket').setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
            )
            await asyncio.sleep(0.05)
            (stream,) = connection.streams
            for _ in range(count):
                connection.write(b'x')
                await asyncio.sleep(0.001)
            await asyncio.sleep(0.05)
            context.received = stream._received_bytes
            context.noted = len(stream._arrivals)

    context.segments = count
    run_real(main())


@then('the host keeps the time of at most {count:d} of them')
def step_noted(context, count):
    assert context.received > context.segments, context.received
    assert context.noted <= count, context.noted


@when('{count:d} callers send {size:d} bytes of a header that does not end')
def step_endless_headers(context, count, size):
    async def script(host):
        head = head_of('GET', '/read/0')[:-2] + b'X-Filler: ' + b'x' * size
        for _ in range(count):
            with contextlib.suppress(ConnectionError):
                await host.open(head)
        await asyncio.sleep(0.3)
        context.code = (await host.send('ordinary', takes_s=0)).code
        context.metrics = await host.metrics()

    context.play(script)


@then('the host keeps at most 1 MB of them, and an ordinary request is answered')
def step_endless_headers_bounded(context):
    assert context.code == 200, context.code
    kept = context.metrics['balsamrail_caller_memory_bytes']
    assert 100_000 < kept <= MB, kept
    assert context.metrics['balsamrail_callers_cut_off_memory_total'] > 10


@when('complete requests leave room for {count:d} incomplete ones, and a seventh arrives')
def step_full(context, count):
    async def script(host):
        head = head_of('POST', '/write/3', 'Content-Length: 760000')
        await host.open(head, bytes(760_000))
        await host.until_run('/write/3')
        for _ in range(count + 1):
            await host.open(head_of('POST', '/write/0', 'Content-Length: 900'), bytes(899))
        await asyncio.sleep(0.5)
        context.metrics = await host.metrics()

    context.play(script)


@then('at most {count:d} requests are refused')
def step_few_refused(context, count):
    refused = context.metrics.get('balsamrail_callers_cut_off_memory_total', 0)
    assert 1 <= refused <= count, context.metrics
