"""Steps of delivery.feature."""

import asyncio
import contextlib
import time

from behave import given, then, when
from delivery_parts import Delivery, answer_to, simulate_power_loss
from forwarding_parts import whole
from placement_parts import make_entry, make_manifest, make_route
from platform_helpers import run_real

from balsamrail.catalog.service_part import ServicePart
from balsamrail.errors import RequestError
from balsamrail.exchange.fingerprint import fingerprint_of

FINGERPRINT = fingerprint_of(service='lepu', method='GET', path='/read/popular', body=b'')


async def answers(number, headers, writer):
    writer.write(answer_to(headers))


async def answers_late(number, headers, writer):
    await asyncio.sleep(0.2)
    writer.write(answer_to(headers))


async def refuses(number, headers, writer):
    writer.write(answer_to(headers, X_Not_Executed='1').replace(b'200 OK', b'503 Busy'))


async def cuts(number, headers, writer):
    raise ConnectionError


async def cuts_inside(number, headers, writer):
    writer.write(answer_to(headers)[:-2])
    await writer.drain()
    raise ConnectionError


async def never(number, headers, writer):
    await asyncio.sleep(60)


async def is_unsigned(number, headers, writer):
    writer.write(whole(X_Request_Id=headers['x-request-id']))


async def answers_another_first(number, headers, writer):
    writer.write(answer_to({'x-request-id': 'another'}, b'wrong') + answer_to(headers))


async def answers_twice(number, headers, writer):
    writer.write(answer_to(headers, headers['x-request-id'].encode()) * 2)


async def answers_first_late(number, headers, writer):
    if headers['x-request-id'] == 'first':
        await asyncio.sleep(0.4)
    writer.write(answer_to(headers, headers['x-request-id'].encode()))


@given('targets that answer at once')
def step_answer(context):
    context.delivery = Delivery([answers] * 3)


@given('a target that refuses without running and one that answers')
def step_refuses(context):
    context.delivery = Delivery([refuses, answers])


@given('targets that cut the connection after the request')
def step_cut(context):
    context.delivery = Delivery([cuts] * 4)


@given('targets that cut the connection after the request and an empty budget')
def step_cut_no_budget(context):
    context.delivery = Delivery([cuts] * 4, slack=0)


@given('a target that cuts the connection after the request and one that answers')
def step_cut_one(context):
    context.delivery = Delivery([cuts, answers])


@given('a target that cuts the connection after the request and one that refuses without running')
def step_cut_refuse(context):
    context.delivery = Delivery([cuts, refuses])


@given('a target that refuses connections and one that answers')
def step_unreachable(context):
    context.delivery = Delivery([answers])
    context.first_target_refuses = True


@given("a target that first answers with another request's id")
def step_crossed(context):
    context.delivery = Delivery([answers_another_first])


@given('a target that answers after the first caller has gone')
def step_first_late(context):
    context.delivery = Delivery([answers_first_late])


@given('a target that sends its answer twice')
def step_twice(context):
    context.delivery = Delivery([answers_twice])


@given('a target whose answer is not signed and one that answers')
def step_unsigned(context):
    context.delivery = Delivery([is_unsigned, answers])


@given('a target whose answer is cut off and one that answers')
def step_cut_answer(context):
    context.delivery = Delivery([cuts_inside, answers])


@given('targets that never answer')
def step_never(context):
    context.delivery = Delivery([never] * 3)


@given('a target that answers after 0.2 s')
def step_late(context):
    context.delivery = Delivery([answers_late])


def _send(context, *, path='/read/x', patience_s=2.0):
    async def play():
        delivery = await context.delivery.start(
            first_target_refuses=getattr(context, 'first_target_refuses', False)
        )
        key = delivery.key_that_prefers('i-0')
        started = time.monotonic()
        try:
            context.answer = await delivery.send('r-1', path=path, key=key, patience_s=patience_s)
        except RequestError as error:
            context.error = error
        context.took_s = time.monotonic() - started
        if getattr(context, 'first_target_refuses', False):
            context.is_down = delivery.book.state_of('i-0').is_down
            await delivery.send('r-2', path=path, key=key)
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@when('a caller sends a request')
@when('a caller sends a request that is idempotent')
def step_send(context):
    _send(context)


@when('a caller sends a request that is not idempotent')
def step_send_once(context):
    _send(context, path='/write/x')


@when('a caller that waits {patience_s:g} s sends a request')
def step_send_patience(context, patience_s):
    _send(context, patience_s=patience_s)


@when('two callers send one request after the other')
def step_two(context):
    async def play():
        delivery = await context.delivery.start()
        try:
            await delivery.send('first', patience_s=0.2)
        except RequestError:
            await asyncio.sleep(0.3)
        context.second = await delivery.send('second')
        delivery.stop()

    run_real(play())


@when('a caller leaves after an idempotent request')
def step_leave(context):
    _leave(context, '/read/x')


@when('a caller leaves after a request that is not idempotent')
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


@then("it gets the target's answer after one attempt")
def step_one_attempt(context):
    assert context.answer.status == 200 and context.answer.body == b'whole', context.answer
    expected = 2 if getattr(context, 'first_target_refuses', False) else 1
    assert sum(context.counts) == expected, context.counts


@then('the target that refused is not tried by the next request')
def step_not_tried(context):
    assert context.is_down


@then("it gets the target's answer after two attempts at different targets")
def step_two_attempts(context):
    assert context.answer.status == 200 and context.answer.body == b'whole', context.answer
    assert context.counts == [1, 1], context.counts


@then('it is told that the outcome is not known after one attempt')
def step_unknown(context):
    assert context.error.outcome == 'unknown', context.error
    assert sum(context.counts) == 1, context.counts


@then('it is told of the failure after {count:d} attempts at different targets')
def step_failure(context, count):
    assert context.error.outcome == 'unknown', context.error
    assert sum(context.counts) == count and max(context.counts) == 1, context.counts


@then('the second caller gets the answer to its own request')
def step_own_answer(context):
    assert context.second.body == b'second', context.second


@then('it is told that the outcome is not known within {bound_s:g} s')
def step_in_time(context, bound_s):
    assert context.error.outcome == 'unknown', context.error
    assert context.took_s < bound_s, context.took_s


@then('the target sees its connection closed')
def step_closed(context):
    assert context.closed == 1, context.closed


@then("the target's answer is still taken")
def step_still_taken(context):
    assert context.closed == 0
    assert 'code=answered' in context.lines, context.lines


@then('the target was named in it and told of at most {patience_s:g} s')
def step_told(context, patience_s):
    heads = [head for target in context.delivery.targets for head in target.heads]
    lines = dict(line.split(': ', 1) for line in heads[0].split('\r\n') if ': ' in line)
    assert lines['X-Target-Instance'] == 'i-0', lines
    assert 0 < int(lines['X-Timeout-Ms']) <= patience_s * 1_000, lines


async def answers_after_09(number, headers, writer):
    await asyncio.sleep(0.9)
    writer.write(answer_to(headers))


@given('a target that answers after 0.9 s')
def step_slow(context):
    context.delivery = Delivery([answers_after_09])


async def answers_while_up(number, headers, writer):
    if headers['x-request-id'].startswith('up'):
        await asyncio.sleep(0.05)
        writer.write(answer_to(headers))
    else:
        await asyncio.sleep(60)


@given('a target that fell silent with its machine and one that answers')
def step_dark(context):
    context.delivery = Delivery([answers_while_up, answers])


@when('callers send requests that are idempotent for {seconds:g} s')
def step_send_many(context, seconds):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        # Kept connections, on which a send finds no fault.
        await asyncio.gather(*(delivery.send(f'up-{number}', key=key) for number in range(8)))
        with simulate_power_loss(delivery.targets[0]):
            context.took = []

            async def send(number):
                started = time.monotonic()
                await delivery.send(f'r-{number}', key=key)
                context.took.append(time.monotonic() - started)

            tasks = []
            for number in range(int(seconds * 10)):
                tasks.append(asyncio.create_task(send(number)))
                await asyncio.sleep(0.1)
            await asyncio.gather(*tasks)
            context.is_down = delivery.book.state_of('i-0').is_down
        delivery.stop()

    run_real(play())


@then('each gets the answer of the other target within {bound_s:g} s')
def step_within(context, bound_s):
    assert max(context.took) < bound_s, context.took


@then('the silent target counts as down')
def step_silent_down(context):
    assert context.is_down


@given('targets that crash when they get the path /read/deadly')
def step_deadly(context):
    context.delivery = Delivery([])

    def make(number):
        async def crash(count, headers, writer):
            target = context.delivery.targets[number]
            if '/read/deadly' in target.heads[-1]:
                target.stop()
                raise ConnectionError
            writer.write(answer_to(headers))

        return crash

    context.delivery.behaviours = [make(number) for number in range(6)]


@when('callers send it with new ids again and again, and others send other requests')
def step_send_deadly(context):
    async def play():
        delivery = await context.delivery.start()
        context.errors = []
        context.codes = []
        for number in range(12):
            try:
                await delivery.send(f'd-{number}', path='/read/deadly', key=f'k-{number}')
            except RequestError as error:
                context.errors.append(error)
            await asyncio.sleep(0.05)
            answer = await delivery.send(f'r-{number}', key=f'k-{number}')
            context.codes.append(answer.status)
        heads = [[head for head in t.heads if 'deadly' in head] for t in delivery.targets]
        context.reached = sum(map(bool, heads))
        delivery.stop()

    run_real(play())


@then('it reaches {count:d} targets and is refused with a time to come back')
def step_stopped(context, count):
    # Up to three retries may pass it on once more while the third crash is found out.
    assert count <= context.reached <= count + 1, context.reached
    assert context.errors[-1].code == 'quarantined', context.errors[-1]
    assert context.errors[-1].status == 503 and context.errors[-1].retry_after_s > 0


@then('the others are answered by the targets that are left')
def step_others(context):
    assert context.codes == [200] * 12, context.codes


@given('targets that answer and of which one after the other is lost')
def step_lost(context):
    async def crash_or_answer(count, headers, writer):
        if headers['x-request-id'].startswith('last'):
            raise ConnectionError
        writer.write(answer_to(headers))

    context.delivery = Delivery([crash_or_answer] * 5)


@when('callers send the same request while four of five targets are lost')
def step_popular(context):
    async def play():
        delivery = await context.delivery.start()
        for number in range(4):
            # The target is lost while it runs the request, and the next one answers.
            context.delivery.targets[number].stop()
            state = delivery.book.state_of(f'i-{number}')
            delivery.crash_detector.record_disconnect(FINGERPRINT, state)
            await asyncio.sleep(0.05)
            answer = await delivery.send(f'r-{number}', path='/read/popular')
            assert answer.status == 200
        context.answer = await delivery.send('r-9', path='/read/popular')
        delivery.stop()

    run_real(play())


@then('it is still answered')
def step_still_answered(context):
    assert context.answer.status == 200


@given('a route confined to attiki and targets that answer at once')
def step_confined(context):
    context.delivery = Delivery([answers] * 3, allowed_regions=frozenset(('attiki',)))


@then("the log tells the manifest, the allowed regions and the target's region, fill and report")
def step_told_inputs(context):
    (line,) = [line for line in context.delivery.log.lines if 'event=request_done' in line]
    for pair in ('manifest=1', 'allowed_regions=attiki', 'region=attiki', 'fill=0', 'bad=false'):
        assert f' {pair} ' in f'{line.rstrip()} ', line
    assert ' report_age_s=null ' in line and ' known=false ' in line, line


@then('the log tells how many routes of the manifest are confined to which regions')
def step_told_confined(context):
    (line,) = [line for line in context.delivery.log.lines if 'event=manifest_in_force' in line]
    assert ' confined=attiki:2' in line, line


async def cuts_late(number, headers, writer):
    await asyncio.sleep(0.2)
    raise ConnectionError


@given(
    'a route confined to attiki, targets there that cut connections and one in makedonia that '
    'answers'
)
def step_confined_cut(context):
    context.delivery = Delivery(
        [cuts_late, cuts_late, answers],
        allowed_regions=frozenset(('attiki',)),
        entries=[{}, {}, {'availability_zone': 'makedonia-a'}],
    )


@when(
    "the manifest confines the route to makedonia while a caller's request is at its first target"
)
def step_confine_anew(context):
    route = make_route(path_prefix='/read/', allowed_regions=frozenset(('makedonia',)))
    _send_under_change(context, route)


def _send_under_change(context, route, *, is_dark=False):
    async def play():
        delivery = await context.delivery.start()
        with contextlib.ExitStack() as stack:
            if is_dark:
                stack.enter_context(simulate_power_loss(delivery.targets[0]))
            task = asyncio.create_task(delivery.send('r-1'))
            await asyncio.sleep(0.1)
            delivery.catalog.offer_manifest(make_manifest(route, version=2))
            context.answer = await task
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('the caller gets the answer of the target in makedonia after one attempt in attiki')
def step_answer_makedonia(context):
    assert context.answer.status == 200, context.answer
    assert sum(context.counts[:2]) == 1 and context.counts[2] == 1, context.counts


@given('targets that accept no connection and a target of another service that answers')
def step_other_service(context):
    context.delivery = Delivery([never, answers], entries=[{}, {'service': 'other'}])


@when("the manifest moves the route to the other service while a caller's request waits")
def step_move(context):
    parts = (ServicePart(service='other', weight=1),)
    _send_under_change(context, make_route(path_prefix='/read/', parts=parts), is_dark=True)


@then('the caller gets the answer of the other service')
def step_answer_other(context):
    assert context.answer.status == 200, context.answer
    assert context.counts == [0, 1], context.counts


@when('the manifest drops the route and a shorter prefix without regions remains')
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


@then("the caller's request reached no target in makedonia")
def step_not_makedonia(context):
    assert context.counts == [1, 1, 0], context.counts


@when('a target starts again under its id at another address')
def step_moved(context):
    async def play():
        delivery = await context.delivery.start()
        key = delivery.key_that_prefers('i-0')
        await delivery.send('r-1', key=key)
        moved = make_entry('i-0', address=delivery.targets[1].address, slots=8, born_ms=2)
        delivery.catalog.put_target(moved)
        delivery.catalog.drop_target('i-1', reason='test')
        delivery.book.refresh(now=0)
        await delivery.send('r-2', key=key)
        context.counts = delivery.attempts()
        delivery.stop()

    run_real(play())


@then('the next request reaches it there')
def step_reached_there(context):
    assert context.counts == [1, 1, 0], context.counts
