"""Steps of delivery.feature."""

import asyncio
import contextlib
import socket
import struct
import time
from unittest import mock

from behave import given, then, when
from delivery_parts import (
    DeliveryHarness,
    crash_on,
    response_to,
    send_deadly_repeatedly,
    simulate_power_loss,
)
from forwarding_parts import whole
from placement_parts import make_entry, make_manifest, make_route
from platform_helpers import run_real

from balsamrail.catalog.weighted_service import WeightedService
from balsamrail.delivery.http_connection_pool import HttpConnectionPool
from balsamrail.delivery.request_fingerprint import RequestFingerprint
from balsamrail.errors import RequestError


async def respond(number, headers, writer):
    writer.write(response_to(headers))


async def respond_late(number, headers, writer):
    await asyncio.sleep(0.2)
    writer.write(response_to(headers))


async def refuse(number, headers, writer):
    writer.write(response_to(headers, X_Not_Executed='1').replace(b'200 OK', b'503 Busy'))


async def drop_connection(number, headers, writer):
    raise ConnectionError


async def truncate_response(number, headers, writer):
    writer.write(response_to(headers)[:-2])
    await writer.drain()
    raise ConnectionError


async def stop_within_body(number, headers, writer):
    writer.write(_framed('without a length', headers)[:-2])
    await asyncio.sleep(60)


def _framed(framing, headers):
    """Return a signed response with the body ``whole``, in one of the forms of HTTP."""
    own = f'X-Request-Id: {headers["x-request-id"]}\r\nX-Response-Signature: signed\r\n'.encode()
    start = b'HTTP/1.1 200 OK\r\n'
    chunked = b'Transfer-Encoding: chunked\r\n\r\n'
    match framing:
        case 'with a length':
            return start + own + b'Content-Length: 12\r\n\r\nwhole  whole'
        case 'with chunks':
            return start + own + chunked + b'7\r\nwhole  \r\n5\r\nwhole\r\n0\r\n\r\n'
        case 'with an interim':
            return b'HTTP/1.1 103 Early Hints\r\n\r\n' + _framed('with a length', headers)
        case 'with bare feeds':
            return _framed('with a length', headers).replace(b'\r\n', b'\n')
        case 'without a length':
            return start + own + b'Connection: close\r\n\r\nwhole  whole'
    raise AssertionError(framing)


async def never_respond(number, headers, writer):
    await asyncio.sleep(60)


async def respond_unsigned(number, headers, writer):
    writer.write(whole(X_Request_Id=headers['x-request-id']))


async def respond_to_another_first(number, headers, writer):
    writer.write(response_to({'x-request-id': 'another'}, b'wrong') + response_to(headers))


async def respond_twice(number, headers, writer):
    writer.write(response_to(headers, headers['x-request-id'].encode()) * 2)


async def respond_late_to_first(number, headers, writer):
    if headers['x-request-id'] == 'first':
        await asyncio.sleep(0.4)
    writer.write(response_to(headers, headers['x-request-id'].encode()))


@given('targets that respond immediately')
def step_answer(context):
    context.delivery = DeliveryHarness([respond] * 3)


@given('a target that refuses without executing and one that responds')
def step_refuses(context):
    context.delivery = DeliveryHarness([refuse, respond])


async def refuse_without_id(number, headers, writer):
    writer.write(REPEATED_REFUSALS['503 without an id'])


def _refusal(status, **fields):
    return whole(b'', **fields).replace(b'200 OK', status)


REPEATED_REFUSALS = {
    '503 without an id': _refusal(b'503 Busy', X_Not_Executed='1'),
    '429 without an id': _refusal(b'429 Too Many Requests', X_Not_Executed='1'),
    '421 without an id': _refusal(b'421 Misdirected Request'),
    '503 of the earlier id': _refusal(b'503 Busy', X_Not_Executed='1', X_Request_Id='r-0'),
    '503 that ends': _refusal(b'503 Busy', X_Not_Executed='1', Connection='close'),
    '429 that promises nothing': _refusal(b'429 Too Many Requests'),
}


@given('a target that refuses without an id and one that responds')
def step_refuses_unnamed(context):
    context.delivery = DeliveryHarness([refuse_without_id, respond])


@given(
    'a target that, on a reused connection, first writes {refusal}, then {then}, and one that '
    'responds'
)
def step_repeats_refusal(context, refusal, then):
    async def respond_behind_refusal(number, headers, writer):
        if number == 1:
            writer.write(response_to(headers))
            return
        context.connections = context.delivery.targets[0].connections
        writer.write(REPEATED_REFUSALS[refusal])
        await asyncio.sleep(0.1)
        if then == 'closes':
            raise ConnectionError
        if then == 'nothing':
            await asyncio.sleep(60)
        writer.write(response_to(headers, headers['x-request-id'].encode()))

    context.delivery = DeliveryHarness([respond_behind_refusal, respond])


@when('a caller sends a non-idempotent request behind another one on the same connection')
def step_send_behind(context):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        await delivery.send('r-0', path='/write/x', key=key)
        context.error = None
        try:
            context.response = await delivery.send(
                'r-1', path='/write/x', key=key, caller_timeout_s=0.5
            )
        except RequestError as error:
            context.error = error
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('it gets {told} from the first target, and the other target gets no request')
def step_told_by_first(context, told):
    assert context.counts == [2, 0], context.counts
    assert context.connections == 1, context.connections
    if told == 'the response':
        assert context.error is None, context.error
        assert context.response.body == b'r-1', context.response
    else:
        assert context.error is not None, context.response
        assert context.error.outcome == 'unknown', context.error
        assert context.error.status in {502, 504}, context.error


@given('targets that drop the connection after the request')
def step_cut(context):
    context.delivery = DeliveryHarness([drop_connection] * 4)


@given('targets that drop the connection after the request and an empty retry budget')
def step_cut_no_budget(context):
    context.delivery = DeliveryHarness([drop_connection] * 4, slack=0)


@given('a target that drops the connection after the request and one that responds')
def step_cut_one(context):
    context.delivery = DeliveryHarness([drop_connection, respond])


@given(
    'a target that drops the connection after the request and one that refuses without executing'
)
def step_cut_refuse(context):
    context.delivery = DeliveryHarness([drop_connection, refuse])


@given('a target that refuses connections and one that responds')
def step_unreachable(context):
    context.delivery = DeliveryHarness([respond])
    context.first_target_refuses = True


@given('a target that first responds with the id of another request')
def step_crossed(context):
    context.delivery = DeliveryHarness([respond_to_another_first])


@given('a target that responds after the first caller has disconnected')
def step_first_late(context):
    context.delivery = DeliveryHarness([respond_late_to_first])


@given('a target that sends its response twice')
def step_twice(context):
    context.delivery = DeliveryHarness([respond_twice])


@given('a target whose response is not signed and one that responds')
def step_unsigned(context):
    context.delivery = DeliveryHarness([respond_unsigned, respond])


@given('a target whose response is truncated and one that responds')
def step_cut_answer(context):
    context.delivery = DeliveryHarness([truncate_response, respond])


@given('targets that never respond')
def step_never(context):
    context.delivery = DeliveryHarness([never_respond] * 3)


@given('a target that responds after 0.2 s')
def step_late(context):
    context.delivery = DeliveryHarness([respond_late])


def _send(context, *, path='/read/x', caller_timeout_s=2.0):
    async def play():
        delivery = await context.delivery.start(
            first_target_refuses=getattr(context, 'first_target_refuses', False)
        )
        key = delivery.key_that_prefers('i-0')
        started = time.monotonic()
        try:
            context.response = await delivery.send(
                'r-1', path=path, key=key, caller_timeout_s=caller_timeout_s
            )
        except RequestError as error:
            context.error = error
        context.took_s = time.monotonic() - started
        if getattr(context, 'first_target_refuses', False):
            context.is_down = delivery.target_registry.state_of('i-0').is_down
            await delivery.send('r-2', path=path, key=key)
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@given('a target that stops within a body without a length, and one that responds')
def step_stops_within_body(context):
    context.delivery = DeliveryHarness([stop_within_body, respond])


@when('the machine of the first target loses power while it sends the body')
def step_power_loss_within_body(context):
    async def play():
        delivery = await context.delivery.start()
        task = asyncio.create_task(delivery.send('r-1', key=delivery.key_that_prefers('i-0')))
        await asyncio.sleep(0.1)
        with simulate_power_loss(delivery.targets[0]):
            context.response = await task
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('the caller gets the response of the other target')
def step_answer_of_other(context):
    assert context.response.body == b'whole', context.response
    assert context.counts == [1, 1], context.counts


@given('a target that ends its response {framing} to {method} by {end} after each of its bytes')
def step_cut_everywhere(context, framing, method, end):
    async def cut(number, headers, writer):
        text = _framed(framing, headers)
        context.head_bytes = max(text.find(b'\r\n\r\nw'), text.find(b'\n\nw')) + 4
        if method == 'HEAD':
            text = text[: context.head_bytes]
        context.whole_bytes = len(text)
        writer.write(text[: number - 1])
        await asyncio.sleep(0.002)
        if end == 'reset':
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        raise ConnectionError

    context.method = method
    context.delivery = DeliveryHarness([cut])


@when('callers send non-idempotent requests until the response is whole')
def step_send_cut(context):
    async def play():
        delivery = await context.delivery.start()
        context.outcomes = []
        context.whole_bytes = 1
        while len(context.outcomes) <= context.whole_bytes:
            request = delivery.request('r-1', '/write/x', 'x', 2.0)
            request.method = context.method
            try:
                response = await delivery.dispatcher.handle(request)
            except RequestError as error:
                context.outcomes.append(error)
            else:
                context.outcomes.append(response.body)
        delivery.stop()

    run_real(play())


@then('each gets an unknown outcome until the bytes of {part} have arrived')
def step_unknown_until(context, part):
    # The list starts with the response of which no byte arrived.
    count = {
        'the response': context.whole_bytes,
        'the head': context.head_bytes,
        'no response': len(context.outcomes),
    }[part]
    cut, rest = context.outcomes[:count], context.outcomes[count:]
    for number, outcome in enumerate(cut):
        assert isinstance(outcome, RequestError), (number, outcome)
        assert outcome.outcome == 'unknown', (number, outcome)
    body = b'' if context.method == 'HEAD' else b'whole  whole'
    for number, outcome in enumerate(rest):
        is_close_delimited = part == 'the head' and context.method != 'HEAD'
        expected = body[:number] if is_close_delimited else body
        assert outcome == expected, (count + number, outcome)


@when('a caller sends a request')
@when('a caller sends an idempotent request')
def step_send(context):
    _send(context)


@when('a caller sends a non-idempotent request')
def step_send_once(context):
    _send(context, path='/write/x')


@when('a caller with a timeout of {caller_timeout_s:g} s sends a request')
def step_send_timeout(context, caller_timeout_s):
    _send(context, caller_timeout_s=caller_timeout_s)


@when('two callers send one request each, one after the other')
def step_two(context):
    async def play():
        delivery = await context.delivery.start()
        try:
            await delivery.send('first', caller_timeout_s=0.2)
        except RequestError:
            await asyncio.sleep(0.3)
        context.second = await delivery.send('second')
        delivery.stop()

    run_real(play())


@when('a caller disconnects after an idempotent request')
def step_leave(context):
    _leave(context, '/read/x')


@when('a caller disconnects after a non-idempotent request')
def step_leave_once(context):
    _leave(context, '/write/x')


def _leave(context, path):
    async def play():
        delivery = await context.delivery.start()
        task = asyncio.create_task(delivery.send('r-1', path=path))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.sleep(0.3)
        context.closed = sum(target.closed_early for target in delivery.targets)
        context.lines = ''.join(delivery.log.lines)
        delivery.stop()

    run_real(play())


@then("it gets the target's response after one attempt")
def step_one_attempt(context):
    assert context.response.status == 200 and context.response.body == b'whole', context.response
    expected = 2 if getattr(context, 'first_target_refuses', False) else 1
    assert sum(context.counts) == expected, context.counts


@then('the next request does not try the target that refused')
def step_not_tried(context):
    assert context.is_down


@then("it gets the target's response after two attempts at different targets")
def step_two_attempts(context):
    assert context.response.status == 200 and context.response.body == b'whole', context.response
    assert context.counts == [1, 1], context.counts


@then('it gets an error with an unknown outcome after one attempt')
def step_unknown(context):
    assert context.error.outcome == 'unknown', context.error
    assert sum(context.counts) == 1, context.counts


@then('it gets an error with an unknown outcome after {count:d} attempts at different targets')
def step_failure(context, count):
    assert context.error.outcome == 'unknown', context.error
    assert sum(context.counts) == count and max(context.counts) == 1, context.counts


@then('the second caller gets the response to its own request')
def step_own_answer(context):
    assert context.second.body == b'second', context.second


@then('it gets an error with an unknown outcome within {bound_s:g} s')
def step_in_time(context, bound_s):
    assert context.error.outcome == 'unknown', context.error
    assert context.took_s < bound_s, context.took_s


@then('the target sees its connection closed')
def step_closed(context):
    assert context.closed == 1, context.closed


@then("the target's response is still received")
def step_still_taken(context):
    assert context.closed == 0
    assert 'code=answered' in context.lines, context.lines


@then('the request names the target and a remaining time of at most {caller_timeout_s:g} s')
def step_forwarded_headers(context, caller_timeout_s):
    heads = [head for target in context.delivery.targets for head in target.heads]
    lines = dict(line.split(': ', 1) for line in heads[0].split('\r\n') if ': ' in line)
    assert lines['X-Target-Instance'] == 'i-0', lines
    assert 0 < int(lines['X-Timeout-Ms']) <= caller_timeout_s * 1_000, lines


async def respond_after_900_ms(number, headers, writer):
    await asyncio.sleep(0.9)
    writer.write(response_to(headers))


@given('a target that responds after 0.9 s')
def step_slow(context):
    context.delivery = DeliveryHarness([respond_after_900_ms])


async def respond_while_up(number, headers, writer):
    if headers['x-request-id'].startswith('up'):
        await asyncio.sleep(0.05)
        writer.write(response_to(headers))
    else:
        await asyncio.sleep(60)


@given('a target whose machine lost power and one that responds')
def step_power_loss(context):
    context.delivery = DeliveryHarness([respond_while_up, respond])


@when('callers send idempotent requests for {seconds:g} s')
def step_send_many(context, seconds):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        # Fills the pool with idle connections, on which a send does not detect the failure.
        await asyncio.gather(*(delivery.send(f'up-{number}', key=key) for number in range(8)))
        with simulate_power_loss(delivery.targets[0]):
            context.durations_s = []

            async def send(number):
                started = time.monotonic()
                await delivery.send(f'r-{number}', key=key)
                context.durations_s.append(time.monotonic() - started)

            tasks = []
            for number in range(int(seconds * 10)):
                tasks.append(asyncio.create_task(send(number)))
                await asyncio.sleep(0.1)
            await asyncio.gather(*tasks)
            context.is_down = delivery.target_registry.state_of('i-0').is_down
        delivery.stop()

    run_real(play())


@then('each gets the response of the other target within {bound_s:g} s')
def step_within(context, bound_s):
    assert max(context.durations_s) < bound_s, context.durations_s


@then('the unresponsive target is marked as down')
def step_marked_down(context):
    assert context.is_down


@given('targets that crash on requests for the path /read/deadly')
def step_crashing_targets(context):
    delivery = DeliveryHarness([])
    delivery.behaviours = [crash_on('/read/deadly', delivery, number) for number in range(6)]
    context.delivery = delivery


@when('callers send such requests repeatedly with new ids, and others send other requests')
def step_send_crashing(context):
    async def play():
        await send_deadly_repeatedly(context, await context.delivery.start())

    run_real(play())


@then('the request reaches {count:d} targets and is then refused with a retry delay')
def step_quarantined(context, count):
    # Up to three retries may reach one more target while the third crash is being detected.
    assert count <= context.reached <= count + 1, context.reached
    assert context.errors[-1].code == 'quarantined', context.errors[-1]
    assert context.errors[-1].status == 503 and context.errors[-1].retry_after_s > 0


@then('the other requests are served by the remaining targets')
def step_others(context):
    assert context.codes == [200] * 12, context.codes


@given('targets that respond and of which one after another fails')
def step_failing_targets(context):
    async def respond_or_drop(count, headers, writer):
        if headers['x-request-id'].startswith('last'):
            raise ConnectionError
        writer.write(response_to(headers))

    context.delivery = DeliveryHarness([respond_or_drop] * 5)


@when('callers send the same request while four of five targets fail')
def step_send_frequent(context):
    async def play():
        delivery = await context.delivery.start()
        for number in range(4):
            # The target fails while it runs the request, and the next one responds.
            context.delivery.targets[number].stop()
            state = delivery.target_registry.state_of(f'i-{number}')
            request = delivery.request(f'r-{number}', '/read/popular', 'x', 2)
            fingerprint = RequestFingerprint(request=request)
            delivery.crash_detector.record_disconnect(fingerprint, state)
            await asyncio.sleep(0.05)
            response = await delivery.send(f'r-{number}', path='/read/popular')
            assert response.status == 200
        context.response = await delivery.send('r-9', path='/read/popular')
        delivery.stop()

    run_real(play())


@then('the request still gets a response')
def step_still_answered(context):
    assert context.response.status == 200


async def refuse_late(number, headers, writer):
    await asyncio.sleep(0.2)
    await refuse(number, headers, writer)


@given('a target that is {state}, and one that responds')
def step_slow_target(context, state):
    behaviours = {
        'slow to accept': respond,
        'slow to refuse': refuse_late,
        'slow to drop connections': drop_connection_late,
    }
    context.delays_connections = state == 'slow to accept'
    context.delivery = DeliveryHarness([behaviours[state], respond])


@when('the host begins to end within {end_s:g} s while {kind} request with a timeout of 2 s waits')
def step_host_ends(context, end_s, kind):
    path = '/write/x' if kind == 'a non-idempotent' else '/read/x'
    acquire = HttpConnectionPool.acquire

    async def acquire_slowly(pool, peer_id, address, **more):
        connection = await acquire(pool, peer_id, address, **more)
        await asyncio.sleep(0.2 if context.delays_connections else 0)
        return connection

    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        context.error = context.response = None
        with mock.patch.object(HttpConnectionPool, 'acquire', acquire_slowly):
            task = asyncio.create_task(delivery.send('r-1', path=path, key=key))
            await asyncio.sleep(0.1)
            now = asyncio.get_running_loop().time()
            delivery.dispatcher.end_requests_by(now + end_s)
            try:
                context.response = await task
            except RequestError as error:
                context.error = error
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('it gets {told}, and the other target gets no request')
def step_told_while_ending(context, told):
    assert context.counts[1] == 0, context.counts
    match told:
        case "the first target's response":
            assert context.response.body == b'whole' and context.counts[0] == 1, context.error
        case 'a rejection with no delay':
            assert context.error is not None, context.response
            assert context.error.code == 'host_leaving', context.error.code
            assert context.error.status == 503 and context.error.retry_after_s == 0
            assert context.counts[0] == (0 if context.delays_connections else 1), context.counts
        case 'an unknown outcome':
            assert context.error.outcome == 'unknown' and context.counts[0] == 1, context.error


@given('a route restricted to attiki and targets that respond immediately')
def step_confined(context):
    context.delivery = DeliveryHarness([respond] * 3, allowed_regions=frozenset(('attiki',)))


@then(
    'the log shows the manifest, the allowed regions, and the region, utilisation and load report of the target'
)
def step_logged_inputs(context):
    (line,) = [line for line in context.delivery.log.lines if 'event=request_done' in line]
    for pair in ('manifest=1', 'allowed_regions=attiki', 'region=attiki', 'fill=0', 'bad=false'):
        assert f' {pair} ' in f'{line.rstrip()} ', line
    assert ' report_age_s=null ' in line and ' known=false ' in line, line
    assert ' slowdown=1' in line, line


@then('the log shows how many routes of the manifest are restricted to which regions')
def step_logged_regions(context):
    (line,) = [line for line in context.delivery.log.lines if 'event=manifest_in_force' in line]
    assert ' confined=attiki:2' in line, line


async def drop_connection_late(number, headers, writer):
    await asyncio.sleep(0.2)
    raise ConnectionError


@given(
    'a route restricted to attiki, targets there that drop connections and one in makedonia that '
    'responds'
)
def step_confined_cut(context):
    context.delivery = DeliveryHarness(
        [drop_connection_late, drop_connection_late, respond],
        allowed_regions=frozenset(('attiki',)),
        entries=[{}, {}, {'availability_zone': 'makedonia-a'}],
    )


@when('the manifest restricts the route to makedonia while a request is at its first target')
def step_change_regions(context):
    route = make_route(path_prefix='/read/', allowed_regions=frozenset(('makedonia',)))
    _send_under_change(context, route)


def _send_under_change(context, route, *, has_power_loss=False):
    async def play():
        delivery = await context.delivery.start()
        with contextlib.ExitStack() as stack:
            if has_power_loss:
                stack.enter_context(simulate_power_loss(delivery.targets[0]))
            task = asyncio.create_task(delivery.send('r-1'))
            await asyncio.sleep(0.1)
            delivery.catalog.offer_manifest(make_manifest(route, version=2))
            context.response = await task
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('the caller gets the response of the target in makedonia after one attempt in attiki')
def step_answer_makedonia(context):
    assert context.response.status == 200, context.response
    assert sum(context.counts[:2]) == 1 and context.counts[2] == 1, context.counts


@given('targets that accept no connections and a target of another service that responds')
def step_other_service(context):
    context.delivery = DeliveryHarness(
        [never_respond, respond], entries=[{}, {'service': 'other'}]
    )


@when('the manifest moves the route to the other service while a request waits for a connection')
def step_move(context):
    parts = (WeightedService(service='other', weight=1),)
    _send_under_change(context, make_route(path_prefix='/read/', parts=parts), has_power_loss=True)


@then('the caller gets the response of the other service')
def step_answer_other(context):
    assert context.response.status == 200, context.response
    assert context.counts == [0, 1], context.counts


@when('the manifest drops the route and keeps a shorter prefix without allowed regions')
def step_drop_route(context):
    async def play():
        delivery = await context.delivery.start()
        task = asyncio.create_task(delivery.send('r-1'))
        await asyncio.sleep(0.1)
        route = make_route(path_prefix='/', allowed_regions=frozenset())
        delivery.catalog.offer_manifest(make_manifest(route, version=2))
        with contextlib.suppress(RequestError):
            await task
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('the request reaches no target in makedonia')
def step_not_makedonia(context):
    assert context.counts == [1, 1, 0], context.counts


@when('a target restarts with the same id at another address')
def step_moved(context):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        await delivery.send('r-1', key=key)
        moved = make_entry('i-0', address=delivery.targets[1].address, slots=8, born_ms=2)
        delivery.catalog.put_target(moved)
        delivery.catalog.drop_target('i-1', reason='test')
        delivery.target_registry.refresh(now=0)
        await delivery.send('r-2', key=key)
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('the next request reaches the new address')
def step_reached_there(context):
    assert context.counts == [1, 1, 0], context.counts


@given('targets that accept no connection for now')
def step_no_connection(context):
    context.delivery = DeliveryHarness([respond] * 3)


@when('an idempotent request with a timeout of 0.1 s ends, and then one with a timeout of 2 s')
def step_little_time(context):
    async def play():
        delivery = await context.delivery.start()
        context.down = []
        with contextlib.ExitStack() as stack:
            for target in delivery.targets:
                stack.enter_context(simulate_power_loss(target))
            started = time.monotonic()
            for caller_timeout_s in (0.1, 2.0):
                with contextlib.suppress(RequestError):
                    await delivery.send('r-1', caller_timeout_s=caller_timeout_s)
                context.down.append(
                    sum(state.is_down for state in delivery.target_registry.states_by_id.values())
                )
                if len(context.down) == 1:
                    context.took_s = time.monotonic() - started
        delivery.stop()

    run_real(play())


@then('the first took no target down, and was refused within 0.3 s')
def step_none_down(context):
    assert context.down[0] == 0, context.down
    assert context.took_s < 0.3, context.took_s


@then('the second took those down that it could not connect to')
def step_some_down(context):
    assert context.down[1] >= 2, context.down


@given('a target that responds with the status {status}, on {connection}, and one that responds')
def step_odd_status(context, status, connection):
    async def respond_oddly(number, headers, writer):
        line = b'200 OK' if headers['x-request-id'] == 'before' else f'{status} Odd'.encode()
        writer.write(response_to(headers).replace(b'200 OK', line))

    context.is_used_before = connection == 'one used before'
    context.delivery = DeliveryHarness([respond_oddly, respond])


@when('callers send a non-idempotent and an idempotent request')
def step_send_both_kinds(context):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        context.outcomes = []
        for path in ('/write/x', '/read/x'):
            if context.is_used_before:
                await delivery.send('before', path=path, key=key)
            try:
                outcome = await delivery.send('r-1', path=path, key=key)
            except RequestError as error:
                outcome = error
            context.outcomes.append(outcome)
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then(
    'the first gets {code} with an unknown outcome, the other one the response of the other target'
)
def step_both_outcomes(context, code):
    first, second = context.outcomes
    assert isinstance(first, RequestError), first
    assert (first.code, first.outcome) == (code, 'unknown'), first
    assert (second.status, second.body) == (200, b'whole'), second
    assert context.counts[1] == 1, context.counts
