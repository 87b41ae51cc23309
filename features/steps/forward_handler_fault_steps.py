"""Steps of forward_handler.feature for upstreams that truncate, delay, swap or stall responses."""

import asyncio
import json
import random

from behave import then, when
from forwarding_parts import RawUpstream, whole
from http_host import ask, run_with_host, serving


@when(
    '{count:d} callers send requests over keep-alive connections while upstreams truncate, delay and swap responses'
)
def step_many(context, count):
    context.answers = asyncio.run(send_concurrently(count, random.Random(context.seed)))


async def send_concurrently(count, choices):
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
    async with serving(upstreams, echoes_request_id=True, deadline_ms=200) as host:
        return await asyncio.gather(*(one_caller(host.port, number) for number in range(count)))


async def one_caller(port, number):
    name = f'caller-{number}.'
    text = f'GET /services/bookings/ HTTP/1.1\nHost: x\nCaller: {name}\nRequest-Id: {name}\n\n'
    await asyncio.sleep(number / 200)
    return name, await ask(port, text)


@then('each caller gets its own complete response or a problem')
def step_own(context):
    complete = 0
    for name, (status, headers, body) in context.answers:
        assert headers['Request-Id'] == name or status in {503, 504}
        if status == 200:
            complete += 1
            assert body == name.encode() * 50, (name, body)
        else:
            assert json.loads(body)['outcome'] in {'unknown', 'not_run'}
    # Ensures that enough requests completed for the check to be meaningful.
    assert complete > len(context.answers) / 3, complete


@when('a caller sends lookups while the idle connections hang')
def step_silent(context):
    context.answers = asyncio.run(send_while_idle_connections_hang())


async def send_while_idle_connections_hang():
    served = set()
    is_silent = False

    async def answer(number, headers, writer):
        # Holds the writers themselves, since the id of a closed one may be reused.
        if is_silent and writer in served:
            await asyncio.sleep(10)
        served.add(writer)
        await asyncio.sleep(0.02)
        writer.write(whole())

    upstreams = [await RawUpstream(answer).start() for _ in range(2)]
    text = 'GET /services/bookings/ HTTP/1.1\nHost: x\n\n'
    async with serving(upstreams, deadline_ms=800) as host:
        await asyncio.gather(*(ask(host.port, text) for _ in range(4)))
        is_silent = True
        return [await ask(host.port, text) for _ in range(6)]


@then('each lookup gets its response within the deadline')
def step_lookups(context):
    assert [status for status, _, _ in context.answers] == [200] * 6


@when('a caller sends a request to targets that shed with Retry-After {retry_after_s:d}')
def step_shed(context, retry_after_s):
    async def answer(number, headers, writer):
        text = f'HTTP/1.1 503 X\r\nRetry-After: {retry_after_s}\r\nContent-Length: 0\r\n\r\n'
        writer.write(text.encode())

    async def main():
        upstream = await RawUpstream(answer).start()
        async with serving([upstream], refusal_statuses=[503]) as host:
            return await ask(host.port, 'POST /services/bookings/ HTTP/1.1\nHost: x\n\n')

    context.status, context.headers, context.body = asyncio.run(main())


@then('the caller is told to retry after {retry_after_s:d} s')
def step_retry_after(context, retry_after_s):
    assert context.headers['Retry-After'] == str(retry_after_s)


@when(
    'two bookings reach a service that {echoes} ids and whose first target repeats {refusal} '
    'before each later response'
)
def step_repeated_refusal(context, echoes, refusal):
    text = 'POST /services/bookings/ HTTP/1.1\nHost: x\nBooking: {}\nContent-Length: 0\n\n'
    ids = {'Request_Id': 'earlier'} if refusal == 'an earlier refusal' else {}
    repeated = whole(b'', **ids).replace(b'200 OK', b'503 Busy')
    context.runs = []
    served = set()

    async def answer(number, headers, writer):
        context.runs.append(headers['booking'])
        if writer in served:
            writer.write(repeated)
            await asyncio.sleep(0.05)
        served.add(writer)
        writer.write(whole(Request_Id=headers['request-id']))

    async def main():
        upstreams = [await RawUpstream(answer).start() for _ in range(2)]
        fields = {'refusal_statuses': [503], 'echoes_request_id': echoes == 'echoes'}
        async with serving(upstreams, **fields) as host:
            context.answers = [await ask(host.port, text.format(name)) for name in 'ab']

    asyncio.run(main())


@then('the second booking ends with status {status:d} and runs at most once')
def step_booked_once(context, status):
    assert context.runs.count('b') == 1, context.runs
    assert [answer[0] for answer in context.answers] == [200, status], context.answers


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
