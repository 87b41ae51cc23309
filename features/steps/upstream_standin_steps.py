"""Steps of upstream_standin.feature, with a client that reads raw bytes."""

import asyncio
import json

from behave import given, then
from platform_helpers import run_real

from standins.upstream import UpstreamStandIn


class Caller:
    """A client connection that carries one request at a time."""

    @classmethod
    async def connect(cls, address):
        caller = cls()
        host, port = address.split(':')
        caller.reader, caller.writer = await asyncio.open_connection(host, int(port))
        return caller

    async def send(self, path, *, method='POST', body=b'', **headers):
        lines = [f'{method} {path} HTTP/1.1', 'Host: x', f'Content-Length: {len(body)}']
        lines += [f'{name.replace("_", "-")}: {value}' for name, value in headers.items()]
        self.writer.write('\r\n'.join([*lines, '', '']).encode() + body)
        await self.writer.drain()

    async def receive(self):
        """Return status, headers and body; a truncated body is returned as received."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode().split('\r\n')
        headers = dict(line.lower().split(': ', 1) for line in head[1:] if line)
        if 'content-length' not in headers:
            return int(head[0].split()[1]), headers, await self.reader.read()
        try:
            body = await self.reader.readexactly(int(headers['content-length']))
        except asyncio.IncompleteReadError as error:
            body = error.partial
        return int(head[0].split()[1]), headers, body


async def ask(address, path='/x', **options):
    caller = await Caller.connect(address)
    try:
        await caller.send(path, **options)
        return await caller.receive()
    finally:
        caller.writer.close()


async def post_behaviour(upstream, changes):
    status, _, _ = await ask(upstream.address, '/behaviour', body=json.dumps(changes).encode())
    assert status == 200


def with_upstream(main):
    async def bounded():
        upstream = UpstreamStandIn(service='diary')
        await upstream.start()
        try:
            await main(upstream)
        finally:
            await upstream.stop()

    run_real(bounded())


@given('an upstream stand-in')
def step_upstream(context):
    context.behaviour = {}


@then('an answer equals the recorded execution byte for byte and echoes the request id')
def step_named(context):
    async def main(upstream):
        await post_behaviour(upstream, {'answer_bytes': 5000})
        status, headers, body = await ask(upstream.address, Request_Id='r1', Idempotency_Key='k')
        [execution] = upstream.log.executions
        assert (status, headers['request-id'], len(body)) == (200, 'r1', 5000)
        assert body == execution.answer(size=5000)
        shown = json.loads((await ask(upstream.address, '/executions', method='GET'))[2])
        assert shown['executions'][0]['idempotency_key'] == 'k', shown

    with_upstream(main)


@then(
    'of {sent:d} requests at once {run:d} are executed, never more than {slots:d} together, '
    'and {refused:d} refused'
)
def step_slots(context, sent, run, slots, refused):
    async def main(upstream):
        most = 0

        async def watch():
            nonlocal most
            while True:
                most = max(most, sum(e.state == 'running' for e in upstream.log.executions))
                await asyncio.sleep(0.001)

        watching = asyncio.create_task(watch())
        answers = await asyncio.gather(*(ask(upstream.address) for _ in range(sent)))
        watching.cancel()
        assert sorted(status for status, _, _ in answers) == [200] * run + [503] * refused
        assert (len(upstream.log.executions), most) == (run, slots)

    with_upstream(main)


@then('a closed connection cancels and a deadline expires the execution')
def step_cancel(context):
    async def main(upstream):
        upstream.behaviour.service_time_s = 0.5
        caller = await Caller.connect(upstream.address)
        await caller.send('/x')
        await asyncio.sleep(0.1)
        caller.writer.close()
        status, _, _ = await ask(upstream.address, Deadline_Ms=100)
        assert status == 504
        states = [execution.state for execution in upstream.log.executions]
        assert states == ['cancelled', 'expired'], states
        assert upstream.state.queue.running == 0

    with_upstream(main)


@then('a caller sees {sight} after {behaviour} is posted')
def step_broken(context, sight, behaviour):
    async def main(upstream):
        _, _, before = await ask(upstream.address, Request_Id='r0')
        await post_behaviour(upstream, json.loads(behaviour))
        started_at = asyncio.get_running_loop().time()
        try:
            _, headers, body = await ask(upstream.address, body=b'oven-7', Request_Id='r1')
        except (asyncio.IncompleteReadError, ConnectionResetError):
            assert sight.startswith('nothing')
            state = upstream.log.executions[1].state
            if sight == 'nothing':
                assert state == 'done'
                return
            assert state == 'crashed'
            try:
                await ask(upstream.address)
            except ConnectionRefusedError:
                await upstream.start()
                assert (await ask(upstream.address))[0] == 200
                return
            raise AssertionError('the port is still open')
        expected = upstream.log.executions[1].answer()
        match sight:
            case 'a body that is too short':
                assert len(body) < int(headers['content-length'])
            case 'a body without its end':
                assert expected in body and not body.endswith(b'0\r\n\r\n')
            case 'the answer before':
                assert (body, headers['request-id']) == (before, 'r0')
            case 'a late answer':
                assert body == expected
                assert asyncio.get_running_loop().time() - started_at > 0.3
            case _:
                raise AssertionError(sight)

    with_upstream(main)


@then('an open connection gets no further answer and a new one does')
def step_silent(context):
    async def main(upstream):
        old = await Caller.connect(upstream.address)
        await old.send('/x')
        assert (await old.receive())[0] == 200
        await post_behaviour(upstream, {'silence_open': True})
        await old.send('/x')
        assert (await ask(upstream.address))[0] == 200
        try:
            async with asyncio.timeout(0.3):
                await old.receive()
        except TimeoutError:
            return
        raise AssertionError('the old connection answered')

    with_upstream(main)


@then('health reports an outdated state, then a false one')
def step_health(context):
    async def main(upstream):
        async def shown():
            return json.loads((await ask(upstream.address, '/health', method='GET'))[2])['state']

        await asyncio.sleep(0.1)
        await post_behaviour(upstream, {'state': 'leaving', 'health_lag_s': 0.2})
        assert await shown() == 'live'
        await asyncio.sleep(0.3)
        assert await shown() == 'leaving'
        await post_behaviour(upstream, {'health_state': 'live'})
        assert await shown() == 'live'
        await ask(upstream.address)
        assert upstream.state.counts['arrived_while_leaving'] == 1

    with_upstream(main)
