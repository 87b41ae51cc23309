"""Steps of planned_stop.feature: a node on loopback sockets with fake components."""

import asyncio
import json
import os
import signal
import time

from behave import given, then, when
from free_ports import free_address
from product_fakes import FakeMembers, FakeTracker, make_environment
from tornado.httpclient import AsyncHTTPClient
from tornado.web import RequestHandler

from balsamrail.host import Parts
from balsamrail.node import Node
from balsamrail.settings import Limits


class SlowHandler(RequestHandler):
    async def get(self, seconds):
        await asyncio.sleep(float(seconds))
        self.finish({'slept': seconds})

    def post(self, seconds):
        self.finish({'length': len(self.request.body)})


class LargeHandler(RequestHandler):
    def get(self, length):
        self.finish(b'x' * int(length))


class FakePart:
    def __init__(self):
        self.hosts = []
        self.runs = 0
        self.number = 7

    async def run(self):
        await asyncio.Event().wait()

    def ready(self):
        return True

    async def accept(self, stream):
        stream.close()

    def reject_new_requests(self):
        self.refused_at = time.monotonic()

    def in_flight(self):
        return 0

    async def give(self):
        self.hosts.append((time.monotonic(), 'transferred its shares'))

    def dump(self):
        return {'runs': self.runs}

    async def announce_host(self, host):
        self.hosts.append((time.monotonic(), host.state))


class FailingPart(FakePart):
    async def run(self):
        self.runs += 1
        raise ValueError('a fault in this component')


class Tracker(FakeTracker, FakePart):
    def __init__(self):
        FakePart.__init__(self)
        FakeTracker.__init__(self)

    def accepted(self):
        return self.declaration


class Members(FakeMembers):
    def dump(self):
        return {'left': self.left}


def make_parts():
    part = FakePart()
    return Parts(
        store=part,
        tracker=Tracker(),
        members=Members(),
        network=part,
        record_sync=part,
        router=part,
        forwarder=part,
        judge=FailingPart(),
        blocks=part,
        claims=part,
        announcer=part,
        hand_over_shares=part.give,
        caller_rules=[('/slow/(.*)', SlowHandler), ('/large/(.*)', LargeHandler)],
    )


@given('a running node whose lookup TTL is {ttl:g} s')
def step_node(context, ttl):
    async def run(scenario):
        addresses = {f'{name}_address': free_address() for name in ('caller', 'peer', 'operator')}
        environment = make_environment(limits=Limits(lookup_ttl_s=ttl), **addresses)
        parts = make_parts()
        node = Node(environment=environment, parts=parts)
        node.install_signal_handlers()
        running = asyncio.create_task(node.run())
        await asyncio.sleep(0.05)
        try:
            await scenario(environment, parts)
        finally:
            if not running.done():
                node.stop()
            context.cut_off = await running
        context.ended = time.monotonic()
        context.parts = parts
        context.environment = environment

    context.run_node = lambda scenario: asyncio.run(run(scenario))


def fetch(environment, path, **options):
    address = environment.settings.caller_address
    return AsyncHTTPClient().fetch(f'http://{address}{path}', raise_error=False, **options)


@when('SIGTERM arrives {before:g} s after a request that takes {seconds:g} s')
def step_term(context, before, seconds):
    async def scenario(environment, parts):
        slow = asyncio.ensure_future(fetch(environment, f'/slow/{seconds}'))
        await asyncio.sleep(before)
        os.kill(os.getpid(), signal.SIGTERM)
        context.signalled = time.monotonic()
        await asyncio.sleep(0.2)
        reader, writer = await connect(environment)
        writer.write(b'GET /slow/0 HTTP/1.1\r\nHost: test\r\n\r\n')
        # The node must close the connection; otherwise this reads until the drain ends.
        async with asyncio.timeout(0.3):
            context.late = await reader.read()
        writer.close()
        context.answer = await slow
        context.answered = time.monotonic()

    context.run_node(scenario)


async def connect(environment):
    host, _, port = environment.settings.caller_address.rpartition(':')
    return await asyncio.open_connection(host, int(port), limit=4096)


@when('SIGTERM arrives while a caller takes {seconds:g} s to read {length:d} bytes')
def step_slow_reader(context, seconds, length):
    async def scenario(environment, parts):
        reader, writer = await connect(environment)
        writer.write(f'GET /large/{length} HTTP/1.1\r\nHost: test\r\n\r\n'.encode())
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200'), head
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(seconds)
        context.received = len(await reader.read())
        writer.close()

    context.length = length
    context.run_node(scenario)


@then('the caller received every byte')
def step_every_byte(context):
    assert context.received == context.length, context.received


@then('new requests were rejected only after the TTL expired')
def step_refused(context):
    assert context.parts.forwarder.refused_at - context.signalled >= 0.29


@when('SIGTERM arrives while a body takes {seconds:g} s to arrive')
def step_body(context, seconds):
    async def produce(write):
        await write(b'first')
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(seconds)
        await write(b'last')

    async def scenario(environment, parts):
        context.answer = await fetch(environment, '/slow/0', method='POST', body_producer=produce)
        assert json.loads(context.answer.body) == {'length': len('firstlast')}

    context.run_node(scenario)


@then('the request gets a complete response')
def step_answered(context):
    assert context.answer.code == 200, context.answer
    assert json.loads(context.answer.body)
    assert context.cut_off == 0


@then('the response to a new request 0.2 s after the signal has "Connection: close"')
def step_late(context):
    assert context.late.startswith(b'HTTP/1.1 200'), context.late
    assert b'Connection: close' in context.late, context.late


@then("the members and the platform's host list were notified before the TTL expired")
def step_told(context):
    assert context.parts.members.left
    told, state = context.parts.store.hosts[0]
    assert state == 'leaving'
    assert told - context.signalled < 0.3
    assert [entry[1] for entry in context.parts.store.hosts] == [
        'leaving',
        'transferred its shares',
    ]
    assert context.parts.members.finished


@then('the node terminates after the response with 0 interrupted requests')
def step_ends(context):
    assert context.cut_off == 0
    assert context.ended >= context.answered


@then('the component that raises immediately is restarted and the operator pages show it')
def step_restarted(context):
    async def scenario(environment, parts):
        await asyncio.sleep(1.2)
        address = environment.settings.operator_address
        page = await AsyncHTTPClient().fetch(f'http://{address}/dump')
        dump = json.loads(page.body)
        assert dump['judge']['runs'] == 2, dump
        assert dump['node']['tasks']['failures'] == {'judge': 2}
        page = await AsyncHTTPClient().fetch(f'http://{address}/metrics')
        assert b'\nbalsamrail_parts_restarted_total 2\n' in page.body, page.body
        page = await AsyncHTTPClient().fetch(f'http://{address}/status')
        assert json.loads(page.body)['services'] == ['bookings', 'diary']

    context.run_node(scenario)
    lines = context.environment.log._logger._output.lines
    assert any('reason="a fault in this component"' in line for line in lines), lines
