"""Steps of target_standing.feature."""

import asyncio
import contextlib
import time
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to
from forwarding_parts import whole
from placement_parts import Placement, make_entry, make_route
from platform_helpers import run_real

from balsamrail.delivery.http_connection_pool import HttpConnectionPool
from balsamrail.entry.entry_gauges import EntryGauges
from balsamrail.errors import RequestError
from balsamrail.metrics import Metrics
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.rejection import Rejection

LEAVING_HEADERS = {'Server_Leaving': '1'}
BUSY = b'503 Service Unavailable'


async def answers(number, headers, writer):
    writer.write(response_to(headers))


def _with_status(status, answer):
    return answer.replace(b'200 OK', status)


async def _leaves_200(number, headers, writer):
    writer.write(response_to(headers, **LEAVING_HEADERS))


async def _leaves_404(number, headers, writer):
    writer.write(_with_status(b'404 Not Found', response_to(headers, **LEAVING_HEADERS)))


async def _leaves_500(number, headers, writer):
    writer.write(_with_status(b'500 Failed', response_to(headers, **LEAVING_HEADERS)))


async def _leaves_refusal(number, headers, writer):
    writer.write(_with_status(BUSY, response_to(headers, X_Not_Executed='1', **LEAVING_HEADERS)))


async def _leaves_unsigned(number, headers, writer):
    writer.write(whole(X_Request_Id=headers['x-request-id'], **LEAVING_HEADERS))


async def _leaves_crossed(number, headers, writer):
    late = response_to({'x-request-id': 'another'}, **LEAVING_HEADERS)
    writer.write(late + response_to(headers))


async def _leaves_cut(number, headers, writer):
    writer.write(response_to(headers, **LEAVING_HEADERS)[:-2])
    await writer.drain()
    raise ConnectionError


async def _leaves_interim(number, headers, writer):
    writer.write(b'HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n' + response_to(headers))


LEAVES_IN = {
    'a signed 200': _leaves_200,
    'a 404 of its own': _leaves_404,
    'a 500 of its own': _leaves_500,
    'a refusal': _leaves_refusal,
    'an answer without a signature': _leaves_unsigned,
    'an answer to another request': _leaves_crossed,
    'an answer that is cut off': _leaves_cut,
    'an interim answer': _leaves_interim,
}


@given('a target that announces its shutdown in {answer} and one that responds')
def step_leaves(context, answer):
    context.delivery = DeliveryHarness([LEAVES_IN[answer], answers])


@given('a target that announces its shutdown in {answer} and no other one')
def step_leaves_alone(context, answer):
    context.delivery = DeliveryHarness([LEAVES_IN[answer]])


async def _send(context, request_id, key, **more):
    """Send a request and record its response or error."""
    started = time.monotonic()
    try:
        context.answers.append(await context.delivery.send(request_id, key=key, **more))
    except RequestError as error:
        context.errors.append(error)
    context.took_s.append(time.monotonic() - started)


@contextlib.asynccontextmanager
async def _started(context):
    context.answers, context.errors, context.took_s = [], [], []
    delivery = await context.delivery.start()
    try:
        yield delivery
    finally:
        context.counts = delivery.attempts()
        context.lines = ''.join(delivery.log.lines)
        delivery.stop()


@when('callers send {count:d} consecutive requests that prefer the first target')
def step_send(context, count):
    async def play():
        async with _started(context) as delivery:
            key = delivery.key_that_prefers('i-0')
            for number in range(count):
                await _send(context, f'r-{number}', key)

    run_real(play())


@then('the first target got 1 request and the other one the later ones')
def step_one_then_other(context):
    assert context.counts[0] == 1, context.counts
    assert context.counts[1] in {5, 6}, context.counts


@then('the log records once that the first target {verb}, and that it was skipped')
def step_log(context, verb):
    word = {'is leaving': 'leaving', 'is refusing': 'refusing'}[verb]
    assert context.lines.count(f'event=target_{word} ') == 1, context.lines
    assert f'passed_over=i-0:{word}' in context.lines, context.lines


@given('a target that responds 421 with a shutdown and a refusal, and one that responds normally')
def step_misdirected(context):
    async def behave(number, headers, writer):
        fields = {'Retry_After': '9', **LEAVING_HEADERS}
        writer.write(_with_status(b'421 Misdirected Request', response_to(headers, **fields)))

    context.delivery = DeliveryHarness([behave, answers])


@then('each target got 3 requests')
def step_each_got(context):
    assert context.counts == [3, 3], context.counts


@given('a target that repeats a refusal with a Retry-After of 9 {mark} before each later response')
def step_repeats_refusal(context, mark):
    ids = {'X_Request_Id': 'earlier'} if mark == 'with the earlier id' else {}
    refusal = _with_status(BUSY, whole(b'', X_Not_Executed='1', Retry_After='9', **ids))

    async def behave(number, headers, writer):
        writer.write(response_to(headers) if number == 1 else refusal + response_to(headers))

    context.delivery = DeliveryHarness([behave, answers])


@then('the first target got each of them, and it was never excluded')
def step_never_excluded(context):
    assert context.counts == [3, 0], context.counts
    assert [answer.body for answer in context.answers] == [b'whole'] * 3, context.errors
    assert 'event=target_refusing' not in context.lines, context.lines


@given('a slow target that announces its shutdown in a quick response, and one that responds')
def step_slow_and_leaves(context):
    async def behave(number, headers, writer):
        if headers['x-request-id'] == 'slow':
            await asyncio.sleep(0.4)
        writer.write(response_to(headers, b'first', **LEAVING_HEADERS))

    context.delivery = DeliveryHarness([behave, answers])


@when('a slow request is in flight while a quick one is completed')
def step_in_flight(context):
    async def play():
        async with _started(context) as delivery:
            key = delivery.key_that_prefers('i-0')
            slow = asyncio.create_task(delivery.send('slow', key=key))
            await asyncio.sleep(0.1)
            await _send(context, 'quick', key)
            await _send(context, 'next', key)
            context.slow = await slow

    run_real(play())


@then("the slow request gets the first target's response")
def step_finished(context):
    assert context.slow.body == b'first', context.slow
    assert context.counts == [2, 1], context.counts


@given('two targets that respond, and connections that are slow to open')
def step_slow_connections(context):
    context.delivery = DeliveryHarness([answers, answers])


def _replace(delivery, **changes):
    entry = make_entry('i-0', address=delivery.targets[0].address, slots=8, **changes)
    delivery.catalog.put_target(entry)
    delivery.target_registry.refresh(now=asyncio.get_running_loop().time())


def _remove(delivery):
    delivery.catalog.drop_target('i-0', reason='removed')
    delivery.target_registry.refresh(now=asyncio.get_running_loop().time())


def _evacuate(delivery):
    delivery.catalog.set_evacuated(frozenset(('attiki-a',)))
    delivery.target_registry.refresh(now=0)


def _now():
    return asyncio.get_running_loop().time()


CHANGES = {
    'says that it leaves': lambda delivery, state: state.availability.note_leaving(now=_now()),
    'refuses for a time': lambda delivery, state: state.availability.note_refusal(9, now=_now()),
    'is draining in the store': lambda delivery, state: _replace(delivery, is_draining=True),
    'is removed from the store': lambda delivery, state: _remove(delivery),
    'has started again under its id': lambda delivery, state: _replace(delivery, born_ms=2),
    'is in a zone that is evacuated': lambda delivery, state: _evacuate(delivery),
    'is found to be down': lambda delivery, state: state.note_down(check_at=0, now=_now()),
    'names a limit of 0': lambda delivery, state: state.availability.note_limit(0, now=_now()),
    'becomes cold beyond its rate': lambda delivery, state: _replace(delivery, cold_left_s=9),
}


@when('the first target {change} while a request waits for its connection')
def step_change(context, change):
    acquire = HttpConnectionPool.acquire

    async def play():
        opened, changed = asyncio.Event(), asyncio.Event()

        async def take_slowly(pool, peer_id, address, **more):
            connection = await acquire(pool, peer_id, address, **more)
            opened.set()
            await changed.wait()
            return connection

        async with _started(context) as delivery:
            if change == 'is in a zone that is evacuated':
                _move_other(delivery)
            key = delivery.key_that_prefers('i-0')
            with mock.patch.object(HttpConnectionPool, 'acquire', take_slowly):
                request = asyncio.create_task(_send(context, 'r-1', key))
                await opened.wait()
                CHANGES[change](delivery, delivery.target_registry.state_of('i-0'))
                if change == 'has started again under its id':
                    # The new incarnation would otherwise be allowed to get the rerouted request.
                    delivery.target_registry.state_of('i-0').note_down(check_at=0, now=_now())
                changed.set()
                await request

    run_real(play())


def _move_other(delivery):
    """Move the other target to a separate zone."""
    address = delivery.targets[1].address
    delivery.catalog.put_target(
        make_entry('i-1', address=address, slots=8, availability_zone='attiki-b')
    )
    delivery.target_registry.refresh(now=_now())


@then("the request gets the other target's response after one attempt")
def step_other(context):
    assert [answer.status for answer in context.answers] == [200], context.errors
    assert context.counts == [0, 1], context.counts


@then('the log records that the attempt was ruled out as {reason}')
def step_log_ruled_out(context, reason):
    assert f'reason="the target was ruled out: {reason}"' in context.lines, context.lines
    assert 'sent=i-1 unreached=i-0' in context.lines, context.lines


@given('a target in makedonia that was chosen for a route without allowed regions')
def step_chosen_free(context):
    context.placement = Placement(make_entry('i-1', availability_zone='makedonia-a'))
    context.choice = context.placement.select()
    assert context.choice.entry.target_id == 'i-1', context.choice


@when('the route is confined to attiki before the request is sent')
def step_confined_since(context):
    route = make_route(allowed_regions=frozenset(('attiki',)))
    context.ruled_out = context.placement.target_selector.confirm(
        route, context.choice, counted=frozenset(), now=0
    )


@then('the target is ruled out as confined')
def step_ruled_out_confined(context):
    assert context.ruled_out is ExclusionReason.confined, context.ruled_out


@given('a target that refuses, one that is shutting down and one that responds')
def step_three(context):
    async def refuses(number, headers, writer):
        writer.write(_with_status(BUSY, response_to(headers, X_Not_Executed='1')))

    context.delivery = DeliveryHarness([refuses, answers, answers])


@when('a request prefers them in this order')
def step_three_order(context):
    async def play():
        async with _started(context) as delivery:
            order = delivery.target_registry.order_of('lepu', allowed_regions=frozenset())
            key = next(
                name
                for name in map(str, range(1_000))
                if list(order.candidates(f'lepu.example/read/{name}', per_region=3))
                == ['i-0', 'i-1', 'i-2']
            )
            delivery.target_registry.state_of('i-1').availability.note_leaving(now=_now())
            await _send(context, 'r-1', key)

    run_real(play())


@then("it gets the third target's response, and the second target gets no request")
def step_third(context):
    assert context.answers and context.counts == [1, 0, 1], context.counts


@then('the first target got 1 request and the others were rejected as {reason}')
def step_refused(context, reason):
    assert context.counts == [1], context.counts
    assert [error.code for error in context.errors] == [reason] * 2, context.errors


@when('it has announced it, and its entry is removed and restored')
def step_entry_returns(context):
    async def play():
        async with _started(context) as delivery:
            key = delivery.key_that_prefers('i-0')
            await _send(context, 'r-0', key)
            _remove(delivery)
            await _send(context, 'r-1', key)
            _replace(delivery)
            await _send(context, 'r-2', key)
            context.counts_before = delivery.attempts()
            _replace(delivery, born_ms=2)
            await _send(context, 'r-3', key)

    run_real(play())


@then('it gets no request until its entry is that of another incarnation')
def step_other_start(context):
    assert context.counts_before == [1, 2], context.counts_before
    assert context.counts == [2, 2], context.counts


@given('an object whose first two of four targets in the region are draining')
def step_two_draining(context):
    near = [make_entry(f'i-{number}') for number in range(4)]
    far = [make_entry(f'j-{number}', availability_zone='makedonia-a') for number in range(4)]
    context.placement = Placement(*near, *far, region='attiki', availability_zone='attiki-a')
    order = context.placement.target_registry.order_of('lepu', allowed_regions=frozenset())
    context.order = list(order.candidates('x', per_region=4))[:4]
    for name in context.order[:2]:
        context.placement.put(make_entry(name, is_draining=True))


@given('whose third target is full')
def step_third_full(context):
    state = context.placement.target_registry.state_of(context.order[2])
    for _ in range(4):
        state.begin(route='r1', object_key='x', aim_s=0.5, now=0)


@when('a request for it is placed')
def step_placed(context):
    context.choice = context.placement.select()


@then('the fourth target of the region is chosen')
def step_fourth_chosen(context):
    assert not isinstance(context.choice, Rejection), context.choice
    assert context.choice.entry.target_id == context.order[3], context.choice


def _refuses_for(text, *, is_not_run=True):
    not_run_headers = {'X_Not_Executed': '1'} if is_not_run else {}

    async def behave(number, headers, writer):
        writer.write(_with_status(BUSY, response_to(headers, Retry_After=text, **not_run_headers)))

    return behave


@given(
    'a target that responds 503 {mark} with a Retry-After of {time_s:g} s and one that responds'
)
def step_refuses(context, mark, time_s):
    context.arrived = []
    is_not_run = mark == 'without having run it'
    refuse = _refuses_for(str(time_s), is_not_run=is_not_run)

    async def behave(number, headers, writer):
        context.arrived.append(time.monotonic())
        await (refuse if number == 1 else answers)(number, headers, writer)

    context.delivery = DeliveryHarness([behave, answers])


@when('callers send requests that prefer the first target until it got {count:d}')
def step_send_until(context, count):
    async def play():
        async with _started(context) as delivery:
            key = delivery.key_that_prefers('i-0')
            number = 0
            while len(context.arrived) < count:
                number += 1
                await _send(context, f'r-{number}', key)
                await asyncio.sleep(0.02)

    run_real(play())


@then('the first target got 1 request within {time_s:g} s, and the others later')
def step_refused_for(context, time_s):
    ages = [arrived - context.arrived[0] for arrived in context.arrived]
    assert min(ages[1:]) >= time_s, ages


@given('a target that responds 503 with a Retry-After of "{value}"')
def step_no_time(context, value):
    context.delivery = DeliveryHarness([_refuses_for(value)])


@then('the first target got each of them, and the log records the value "{value}" each time')
def step_ignored(context, value):
    assert context.counts == [3], context.counts
    lines = [line for line in context.delivery.log.lines if 'target_refusal_unreadable' in line]
    assert len(lines) == 3 and all(value in line for line in lines), context.lines


@given('two targets that respond 503 with a Retry-After of 4 s')
def step_all_refuse(context):
    context.delivery = DeliveryHarness([_refuses_for('4'), _refuses_for('4')])


@when('{count:d} callers send requests after both have refused')
def step_ask(context, count):
    async def play():
        async with _started(context) as delivery:
            await _send(context, 'first', delivery.key_that_prefers('i-0'))
            assert delivery.attempts() == [1, 1]
            context.errors.clear()
            context.took_s.clear()
            availability = delivery.target_registry.state_of('i-0').availability
            context.left_s = []
            for number in range(count):
                context.left_s.append(availability.refusing_until - _now())
                await _send(context, f'r-{number}', f'object {number}')

    run_real(play())


@then('each is rejected long before 4 s, and told to retry after the refusal')
def step_refused_at_once(context):
    assert context.counts == [1, 1], context.counts
    assert len(context.errors) == 40 and max(context.took_s) < 1, context.took_s
    for error, left_s, took_s in zip(context.errors, context.left_s, context.took_s, strict=True):
        assert error.status == 503
        assert left_s - took_s <= error.retry_after_s <= left_s + 1, error


@then('the retry times are spread over 1 s')
def step_retries_spread(context):
    delays_s = sorted(
        error.retry_after_s - left_s
        for error, left_s in zip(context.errors, context.left_s, strict=True)
    )
    for tenth in range(10):
        inside = sum(tenth / 10 <= after_s < (tenth + 1) / 10 for after_s in delays_s)
        assert inside <= 12, delays_s
    assert delays_s[-1] - delays_s[0] > 0.6, delays_s


@given('a target that is down and responds to health checks with {word}')
def step_down_health(context, word):
    fields = LEAVING_HEADERS if word == 'Server-Leaving' else {'Retry_After': '9'}

    async def behave(number, headers, writer):
        writer.write(_with_status(BUSY, whole(X_Instance_Id='i-0', **fields)))
        context.checked.set()

    context.checked = asyncio.Event()
    context.delivery = DeliveryHarness([behave])


@when('its health is checked for {seconds:g} s after the first response')
def step_check_health(context, seconds):
    async def play():
        async with _started(context) as delivery:
            health_checker = delivery.make_health_checker()
            checking = asyncio.create_task(health_checker.run())
            delivery.target_registry.state_of('i-0').note_down(check_at=0, now=_now())
            await context.checked.wait()
            await asyncio.sleep(seconds)
            await _send(context, 'r-1', 'x')
            checking.cancel()

    run_real(play())


@then('it got 1 health check and no request')
def step_one_check(context):
    heads = context.delivery.targets[0].heads
    assert len(heads) == 1 and heads[0].startswith('GET /health '), heads
    assert 'event=target_back' not in context.lines, context.lines


@given('a target that completes one request after 1 s and refuses another with a Retry-After of 9')
def step_slow_and_refuses(context):
    refuse = _refuses_for('9')

    async def behave(number, headers, writer):
        if headers['x-request-id'] == 'slow':
            await asyncio.sleep(1)
            await answers(number, headers, writer)
        else:
            await refuse(number, headers, writer)

    context.delivery = DeliveryHarness([behave])


@when('both are sent')
def step_both(context):
    async def play():
        async with _started(context) as delivery:
            slow = asyncio.create_task(delivery.send('slow'))
            await asyncio.sleep(0.05)
            await _send(context, 'quick', 'x')
            context.slow = await slow
            context.connections = delivery.targets[0].connections

    run_real(play())


@then('the first one is completed, and no further connection was opened')
def step_not_connected(context):
    assert context.slow.status == 200 and len(context.errors) == 1, context.errors
    assert context.connections == 2, context.connections


@given('targets that are leaving, refusing, down, draining and limited')
def step_excluded(context):
    entries = [make_entry(name) for name in ('leaving', 'refusing', 'down', 'limited')]
    context.placement = Placement(*entries, make_entry('draining', is_draining=True))
    states = context.placement.target_registry.states_by_id
    states['leaving'].availability.note_leaving(now=0)
    states['refusing'].availability.note_refusal(7, now=0)
    states['down'].note_down(check_at=0, now=0)
    states['limited'].availability.note_limit(3.9, now=0)


@when("the host's dump and metrics are read 2 s later")
def step_pages(context):
    context.dump = context.placement.target_registry.dump(now=2)
    gauges = EntryGauges(
        clock=SimpleNamespace(monotonic=lambda: 2),
        catalog=context.placement.catalog,
        target_registry=context.placement.target_registry,
        dispatcher=SimpleNamespace(remaining_retries=dict),
        members=SimpleNamespace(local_member=lambda: SimpleNamespace(state='alive'), known=list),
        watch=SimpleNamespace(receives_changes=int, hops=int, store_up_for_s=int),
        manifest_lease=SimpleNamespace(is_required=bool),
    )
    context.page = Metrics().page(gauges.read())


@then("each target's reason and its age of 2 s are shown")
def step_pages_show_reasons(context):
    for name in ('leaving', 'refusing', 'down', 'draining', 'limited'):
        left_s = 5 if name == 'refusing' else None
        expected = [{'reason': name, 'for_s': 2, 'left_s': left_s}]
        assert context.dump[name]['ruled_out'] == expected, context.dump
        assert f'balsamrail_targets_{name}{{service="lepu"}} 1\n' in context.page, context.page
        age = f'balsamrail_targets_ruled_out_longest_seconds{{reason="{name}"}} 2\n'
        assert age in context.page, context.page


@given('a target of 10 slots that refused for 4 s')
def step_refused_for_4(context):
    context.placement = Placement(make_entry('i-1', slots=10))
    context.state = context.placement.target_registry.state_of('i-1')
    context.state.availability.note_refusal(4, now=0)


@when('requests arrive as fast as the target accepts them')
def step_fill(context):
    context.taken_at = []
    for hundredth in range(520):
        now = hundredth / 100
        while not isinstance(context.placement.select(now=now), Rejection):
            context.state.begin(route='r1', object_key='x', aim_s=0.5, now=now)
            context.taken_at.append(now)


@then('it accepts none before 4 s, at most 1 at 4 s, at most 11 by 4.5 s, and 20 by 5 s')
def step_filled(context):
    for until, most in ((3.995, 0), (4.005, 1), (4.505, 11)):
        assert sum(at <= until for at in context.taken_at) <= most, context.taken_at
    assert sum(at <= 5.005 for at in context.taken_at) == 20, context.taken_at
