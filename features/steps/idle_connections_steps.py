"""Steps of idle_connections.feature."""

import asyncio

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to
from platform_helpers import run_real

from balsamrail.delivery.idle_limits import IdleLimits
from balsamrail.errors import RequestError

_ANNOUNCED = {'Keep_Alive': 'timeout=10'}


def _limits_s(limits, peer_id, *, announced_s=None, now=0):
    return tuple(
        limits.limit_s(peer_id, announced_s=announced_s, fresh_only=fresh_only, now=now)
        for fresh_only in (False, True)
    )


@when('a target announces an idle timeout of {announced}')
def step_announce(context, announced):
    announced_s = None if announced == 'nothing' else float(announced.removesuffix(' s'))
    context.limits_s = _limits_s(IdleLimits(), 'a', announced_s=announced_s)


@then('connections are reused after up to {repeatable:g} s, for other requests up to {other:g} s')
def step_limits(context, repeatable, other):
    found = tuple(round(limit_s, 6) for limit_s in context.limits_s)
    assert found == (repeatable, other), found


@when('a connection is reset after 0.5 s without a request')
def step_reset(context):
    context.limits = IdleLimits()
    context.limits.note_reset('a', idle_s=0.5, now=100)


@then('the idle time at this target is limited to less than that for 10 s')
def step_limited(context):
    limits = context.limits
    assert max(_limits_s(limits, 'a', announced_s=10, now=109)) < 0.5
    limits.prune(now=109)
    assert max(_limits_s(limits, 'a', announced_s=10, now=109)) < 0.5
    limits.prune(now=111)
    assert _limits_s(limits, 'a', announced_s=10, now=111) == _limits_s(
        IdleLimits(), 'a', announced_s=10
    )


@then('at the other targets to 1 s for 5 s, for requests that are not idempotent only')
def step_others(context):
    usual = _limits_s(IdleLimits(), 'b', announced_s=10)
    context.limits.note_reset('a', idle_s=0.5, now=200)
    assert _limits_s(context.limits, 'b', announced_s=10, now=204) == (usual[0], 1)
    assert _limits_s(context.limits, 'b', announced_s=10, now=205) == usual


async def _respond(number, headers, writer):
    writer.write(response_to(headers, **_ANNOUNCED))


class _Dropper:
    """A target's behaviour: closes a connection at the next request after ``idle_s``."""

    def __init__(self, idle_s):
        self._idle_s = idle_s
        self._used_at_by_writer = {}

    async def __call__(self, number, headers, writer):
        now = asyncio.get_running_loop().time()
        if now - self._used_at_by_writer.get(writer, now) > self._idle_s:
            raise ConnectionError
        writer.write(response_to(headers, **_ANNOUNCED))
        self._used_at_by_writer[writer] = now


@given('a target that announces an idle timeout of 10 s')
def step_target(context):
    context.behaviours = [_respond]


@given('two targets that drop connections after 0.2 s, but announce 10 s')
def step_droppers(context):
    context.behaviours = [_Dropper(0.2), _Dropper(0.2)]


@given('a target that drops connections after 0.2 s, but announces 10 s, and one that keeps them')
def step_one_dropper(context):
    context.behaviours = [_Dropper(0.2), _respond]


@when('two requests that are not idempotent are sent to it 1.5 s apart')
def step_two(context):
    async def play():
        delivery = await DeliveryHarness(context.behaviours).start()
        for number in range(2):
            await delivery.send(f'r-{number}', path='/write/x')
            await asyncio.sleep(1.5 * (1 - number))
        context.connections = delivery.targets[0].connections
        delivery.stop()

    run_real(play())


@then('it has accepted one connection')
def step_one(context):
    assert context.connections == 1, context.connections


@when('12 requests that are {kind} are sent to them 0.3 s apart')
def step_steady(context, kind):
    path = '/read/x' if kind == 'idempotent' else '/write/x'

    async def play():
        delivery = await DeliveryHarness(context.behaviours).start()
        keys = [delivery.key_that_prefers(f'i-{number}') for number in range(2)]
        context.failures = []
        for number in range(12):
            for key in keys:
                try:
                    await delivery.send(f'r-{number}-{key}', path=path, key=key)
                except RequestError as error:
                    context.failures.append(error)
            await asyncio.sleep(0.3)
        context.attempts = sum(delivery.attempts())
        delivery.stop()

    run_real(play())


@then('at most one of them for each target has no response')
def step_lost(context):
    assert len(context.failures) <= 2, context.failures


@then('all are answered')
def step_answered(context):
    assert not context.failures, context.failures


@then('at most one of them needed a second attempt')
def step_attempts(context):
    assert context.attempts <= 24 + 1, context.attempts
