"""Steps of upstream_framing.feature, on loopback sockets."""

import asyncio
import contextlib
import socket
import struct

from behave import then, when
from forwarding_parts import RawUpstream, make_environment, whole

from balsamrail.configuration import Target
from balsamrail.exchange.upstream_stream import UpstreamStream
from balsamrail.forwarding.attempt_error import AttemptError
from balsamrail.forwarding.connection_pool import ConnectionPool
from balsamrail.forwarding.upstream_request import UpstreamRequest


def unescape(text):
    return text.replace(r'\r', '\r').replace(r'\n', '\n').encode()


class ExchangeHarness:
    """A pool in front of one raw upstream."""

    def __init__(self, answer, *, connections=10, **limits):
        self.upstream = RawUpstream(answer)
        self.limits = limits
        self.connections = connections
        self.outcomes = []

    async def __aenter__(self):
        await self.upstream.start()
        self.environment = make_environment(**self.limits)
        self.pool = ConnectionPool(environment=self.environment)
        return self

    async def __aexit__(self, *cause):
        self.kept = sum(self.pool.dump()['idle'].values())
        self.pool.close()
        self.upstream.stop()

    async def send(
        self, method='GET', *, body=b'', expected_request_id=None, fresh=False, timeout_s=2
    ):
        target = Target(
            address=self.upstream.address,
            availability_zone='attiki-a',
            slots=4,
            connections=self.connections,
        )
        upstream_request = UpstreamRequest(
            method=method, path='/', body=body, expected_request_id=expected_request_id
        )
        upstream_request.headers['Host'] = 'upstream'
        deadline = self.environment.clock.monotonic() + timeout_s
        try:
            answer = await self.pool.exchange(
                target=target, upstream_request=upstream_request, deadline=deadline, fresh=fresh
            )
        except AttemptError as error:
            self.outcomes.append(error)
        else:
            self.outcomes.append(answer.body)

    def run(self, script):
        async def main():
            async with self:
                await script(self)

        asyncio.run(main())
        return self


def outcome_name(outcome):
    return 'error' if isinstance(outcome, AttemptError) else outcome.decode() or 'empty'


@when('the upstream responds to {method} with "{answer}" and then {end}')
def step_answer(context, method, answer, end):
    async def write(number, headers, writer):
        writer.write(unescape(answer))
        if end == 'closes':
            writer.close()

    context.exchanges = ExchangeHarness(write).run(lambda exchanges: exchanges.send(method))


@when(
    'the upstream truncates its response "{answer}" to {method} after each of its bytes by {way}'
)
def step_cut(context, answer, method, way):
    text = unescape(answer)

    async def cut(number, headers, writer):
        writer.write(text[: number - 1])
        await asyncio.sleep(0.002)
        if way == 'reset':
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    async def script(exchanges):
        for _ in range(len(text) + 1):
            await exchanges.send(method)

    context.exchanges = ExchangeHarness(cut).run(script)


@then('each truncated response gives an error, and the whole one gives {whole_name}')
def step_no_cut(context, whole_name):
    *cut, last = [outcome_name(outcome) for outcome in context.exchanges.outcomes]
    assert set(cut) == {'error'}, cut
    assert all(error.may_have_run for error in context.exchanges.outcomes[:-1])
    # The complete response shows that truncation was tested up to the last byte.
    assert last == whole_name, last


@when('the upstream echoes the id of another request')
def step_crossed(context):
    async def write(number, headers, writer):
        writer.write(whole(Request_Id='other'))

    context.exchanges = ExchangeHarness(write).run(
        lambda exchanges: exchanges.send(expected_request_id='own')
    )


@when('the upstream responds to the first request after its deadline and to the next one at once')
def step_late(context):
    async def write(number, headers, writer):
        if number == 1:
            await asyncio.sleep(0.15)
        writer.write(whole(b'first' if number == 1 else b'second'))

    async def script(exchanges):
        await exchanges.send(timeout_s=0.1)
        await exchanges.send()

    context.exchanges = ExchangeHarness(write).run(script)


@when('an exchange is cancelled while the upstream works')
def step_cancel(context):
    async def write(number, headers, writer):
        await asyncio.sleep(5)

    async def script(exchanges):
        task = asyncio.create_task(exchanges.send())
        await asyncio.sleep(0.05)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.05)

    context.exchanges = ExchangeHarness(write).run(script)


@then('the upstream saw the connection close')
def step_closed_early(context):
    assert context.exchanges.upstream.closed_early == 1
    assert context.exchanges.pool.dump() == {'open': {}, 'idle': {}}


@when('the upstream sends a stray response after the first one')
def step_stray(context):
    async def write(number, headers, writer):
        writer.write(whole(b'first' if number == 1 else b'second'))
        if number == 1:
            asyncio.get_running_loop().call_later(0.05, writer.write, whole(b'stray'))

    async def script(exchanges):
        await exchanges.send()
        await asyncio.sleep(0.1)
        await exchanges.send()

    context.exchanges = ExchangeHarness(write).run(script)


@when('two {kind} requests are sent {pause:f} s apart')
def step_two(context, kind, pause):
    async def write(number, headers, writer):
        writer.write(whole())

    async def script(exchanges):
        await exchanges.send(fresh=kind == 'fresh')
        await asyncio.sleep(pause)
        await exchanges.send(fresh=kind == 'fresh')

    limits = {'idle': {'connection_idle_s': 0.2}, 'old': {'connection_age_s': 0.2}}
    context.exchanges = ExchangeHarness(write, **limits.get(kind, {})).run(script)


@when('{count:d} requests are sent at once to a target with {connections:d} connections')
def step_bound(context, count, connections):
    async def write(number, headers, writer):
        await asyncio.sleep(0.1)
        writer.write(whole())

    async def script(exchanges):
        await asyncio.gather(*(exchanges.send() for _ in range(count)))

    context.exchanges = ExchangeHarness(write, connections=connections).run(script)


@when('a body of {size:d} MB is sent and echoed')
def step_large(context, size):
    context.body = bytes(range(256)) * (size * 4096)

    async def write(number, headers, writer):
        writer.write(whole(context.exchanges.upstream.bodies[-1]))

    context.exchanges = ExchangeHarness(write)
    context.exchanges.run(lambda exchanges: exchanges.send('POST', body=context.body))


@then('the exchange gives the same {size:d} MB')
def step_same(context, size):
    assert context.exchanges.outcomes == [context.body]


@then('the exchange gives {outcome}')
def step_gives(context, outcome):
    assert [outcome_name(entry) for entry in context.exchanges.outcomes] == [outcome]


@then('the exchanges give "{outcomes}"')
def step_give(context, outcomes):
    assert [outcome_name(entry) for entry in context.exchanges.outcomes] == outcomes.split()


@then('the upstream connection is {state}')
def step_connection(context, state):
    assert context.exchanges.kept == (1 if state == 'kept' else 0)


@then('{count:d} upstream connections were opened')
def step_opened(context, count):
    assert context.exchanges.upstream.connections == count, context.exchanges.upstream.connections


@then('{count:d} of the requests provably did not run')
def step_not_run(context, count):
    errors = [entry for entry in context.exchanges.outcomes if isinstance(entry, AttemptError)]
    assert [error.may_have_run for error in errors] == [False] * count


@when('an upstream connection is opened')
def step_open(context):
    context.stream_options = asyncio.run(_read_options())


async def _read_options():
    stream = UpstreamStream.create(address='127.0.0.1:1', user_timeout_s=5, buffer_bytes=65_536)
    options = [
        stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY),
        stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE),
        stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    ]
    stream.close()
    return options


@then('its socket has no delay, keepalive and a user timeout of {timeout_ms:d} ms')
def step_options(context, timeout_ms):
    assert context.stream_options == [1, 1, timeout_ms]


@when('a listening and a stopped target are probed')
def step_probe(context):
    async def script(exchanges):
        listening = await exchanges.pool.refuses_connections(exchanges.upstream.address)
        exchanges.upstream.stop()
        context.probed = [
            listening,
            await exchanges.pool.refuses_connections(exchanges.upstream.address),
        ]

    ExchangeHarness(None).run(script)


@then('only the stopped target counts as crashed')
def step_probed(context):
    assert context.probed == [False, True]
