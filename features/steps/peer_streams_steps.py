"""Steps for peer_streams.feature on loopback sockets."""

import asyncio
import contextlib

import msgpack
from behave import given, then, when
from tornado.netutil import bind_sockets

from balsamrail.membership import Members, PeerNetwork, PeerServer
from balsamrail.messages import Hello, RecordFull, TargetLeaving, encode_message
from features.steps.memory_fleet import MemoryStore, run, wait_until
from features.steps.platform_helpers import RecordedLog, make_environment

INVALID_BYTES = {
    'garbage': b'GET / HTTP/1.1\r\n\r\n\xc1\xc1',
    'an unknown message': msgpack.packb([99, 'x']),
    'an oversized frame': b'\xc6\x7f\xff\xff\xff' + b'x' * 2_500_000,
}


class SocketHost:
    def __init__(self, *, name, seeds=()):
        socket = bind_sockets(0, '127.0.0.1')[0]
        self.port = socket.getsockname()[1]
        self.address = f'127.0.0.1:{self.port}'
        self.log = RecordedLog()
        self.environment = make_environment(
            log=self.log, host=name, peer_address=self.address, seeds=list(seeds)
        )
        self.members = Members(environment=self.environment)
        self.network = PeerNetwork(
            environment=self.environment, members=self.members, store=MemoryStore()
        )
        self.server = PeerServer(environment=self.environment, accept=self.network.accept)
        self.server.add_sockets([socket])
        self.task = asyncio.create_task(self.network.run())

    async def stop(self):
        self.server.stop()
        self.task.cancel()
        await asyncio.wait([self.task])
        await asyncio.sleep(0.05)


@given('a host that listens on a loopback socket')
def step_listen(context):
    async def begin():
        context.hosts = [SocketHost(name='one')]

    async def end():
        for host in context.hosts:
            await host.stop()

    def stop():
        run(context, end())
        context.loop.close()

    context.loop = asyncio.new_event_loop()
    context.stoppers = [stop]
    run(context, begin())


async def send_hello(host):
    reader, writer = await asyncio.open_connection('127.0.0.1', host.port, limit=1024)
    hello = Hello(
        host='fake',
        incarnation='f' * 20,
        peer_address='127.0.0.1:9',
        caller_address='127.0.0.1:9',
        region='r',
        availability_zone='r-a',
        state='alive',
    )
    writer.write(encode_message(hello))
    await wait_until(lambda: host.members.get('fake'), 2)
    return reader, writer


@when('a peer sends Hello and then {name}')
def step_send_bytes(context, name):
    async def send():
        reader, writer = await send_hello(context.hosts[0])
        with contextlib.suppress(ConnectionError):
            writer.write(INVALID_BYTES[name])
            await writer.drain()
        context.is_closed = False
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(3):
                while await reader.read(1024):
                    pass
        context.is_closed = True
        writer.close()

    run(context, send())


@then('its stream is closed, logged once and counted')
def step_closed(context):
    host = context.hosts[0]
    lines = [line for line in host.log.lines if 'event=peer_stream_invalid' in line]
    assert context.is_closed and len(lines) == 1, (context.is_closed, host.log.lines)
    assert host.environment.metrics.counter('peer_streams_invalid') == 1


@when('a peer sends Hello and reads nothing while 20 MB are sent to it')
def step_slow(context):
    async def send():
        host = context.hosts[0]
        _, writer = await send_hello(host)
        context.buffered_bytes = 0
        message = RecordFull(number=1, version=1, record=b'x' * 100_000)
        for _ in range(200):
            if not await host.network.send('fake', message):
                break
            context.buffered_bytes += 100_000
            await asyncio.sleep(0)
        writer.close()

    run(context, send())


@then('sending fails before 8 MB are buffered and the stream is closed')
def step_slow_dropped(context):
    # The kernel's socket buffers hold several megabytes in addition to the write buffer.
    assert context.buffered_bytes < 8_000_000, context.buffered_bytes
    assert context.hosts[0].environment.metrics.counter('peer_streams_too_slow') == 1


@when('a second host starts with the first as its only seed')
def step_second(context):
    async def begin():
        context.hosts.append(SocketHost(name='two', seeds=[context.hosts[0].address]))

    run(context, begin())


@then('both know each other within {limit:d} s and a flood reaches the second host')
def step_exchange(context, limit):
    async def exchange():
        one, two = context.hosts
        arrived = []
        two.network.subscribe(TargetLeaving, lambda host, message: arrived.append((host, message)))
        known = lambda: two.network.dump()['linked'] and one.network.dump()['successors']  # noqa
        await wait_until(lambda: known() and two.members.get('one'), limit)
        message = TargetLeaving(service='s', address='10.0.0.1:1', leaving=True, wall_s=1.0)
        one.network.flood(message, topic='target/s/10.0.0.1:1', version=(1.0,))
        await wait_until(lambda: arrived, 1)
        assert arrived == [('one', message)], arrived

    run(context, exchange())
