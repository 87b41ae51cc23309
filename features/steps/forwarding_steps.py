"""Steps of forwarding.feature, in virtual time with a scripted pool."""

import asyncio

from behave import given, then, when
from forwarding_host import Host
from virtual_time import run_virtual


@given('a host with {count:d} targets whose attempts end with {script}')
def step_host(context, count, script):
    context.script = script.split()
    context.actions = []


@when('a caller sends {request} and disconnects')
def step_goes_away(context, request):
    context.is_idempotent = request.startswith('GET')

    async def act(host):
        task = asyncio.create_task(host.send_named(request))
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.wait([task])
        running = host.forwarder.in_flight()
        await asyncio.sleep(1)
        assert running == host.pool.states.count('finished')
        assert host.forwarder.in_flight() == 0

    context.actions.append(act)


@when('a caller sends {request}')
def step_send(context, request):
    context.is_idempotent = request.startswith('GET')
    context.actions.append(lambda host: host.send_named(request))


@when('{count:d} callers send GET one after another')
def step_many(context, count):
    context.is_idempotent = True

    async def act(host):
        for _ in range(count):
            await host.send('GET')

    context.actions.append(act)


@when('meanwhile {what}')
def step_meanwhile(context, what):
    context.limits = {
        'the kept answers exceed their limit': {'kept_answer_bytes': 2_500},
        'the table is full': {'kept_keys': 3},
    }.get(what, {})
    context.actions.append(lambda host: host.meanwhile(what))


def run_actions(context):
    """Run the actions of the scenario once, when the first result is needed."""
    if hasattr(context, 'host'):
        return context.host
    limits = getattr(context, 'limits', {})

    async def main():
        context.host = Host(context.script, **limits)
        context.host.first_key = context.host.key()
        for action in context.actions:
            await action(context.host)

    run_virtual(main())
    faults = [fault for fault in context.host.history.faults() if not context.is_idempotent]
    assert faults == [], faults
    for admission in context.host.router.admissions:
        assert len(admission.results) == 1, admission.results
    return context.host


@then('the caller receives {result}')
def step_told(context, result):
    assert run_actions(context).result == result, (context.host.result, context.host.pool.sent)


@then('{count:d} attempts were made')
def step_sent(context, count):
    assert len(run_actions(context).pool.sent) == count, len(context.host.pool.sent)


@then('no failed target was tried again')
def step_other_target(context):
    targets = run_actions(context).pool.targets
    # A stale connection does not mean that its target failed.
    assert 'stale' in context.script or len(set(targets)) == len(targets), targets


@then('at most {count:d} attempts were made')
def step_at_most(context, count):
    assert 200 < len(run_actions(context).pool.sent) <= count, len(context.host.pool.sent)


@then('{count:d} requests were forwarded to another host')
def step_passed(context, count):
    passed = run_actions(context).pool.passed_on
    assert len(passed) == count
    assert all(
        upstream_request.headers['Balsamrail-Passed-On'] == 'attiki-1'
        for upstream_request in passed
    )


@then('the upstream attempt is {state}')
def step_state(context, state):
    assert run_actions(context).pool.states == [state]


@then('the attempts request {connections} connections')
def step_fresh(context, connections):
    asked = ['fresh' if fresh else 'any' for fresh in run_actions(context).pool.fresh]
    assert asked == connections.split(), asked


@then('neither side receives a hop-by-hop header')
def step_hop(context):
    host = run_actions(context)
    names = {name for name, _ in host.pool.sent[0].headers.get_all()}
    assert names == {'A', 'Deadline-Ms', 'Host', 'Idempotency-Key', 'Request-Id', 'Test-Call'}, (
        names
    )
    assert dict(host.response.headers) == {'A': 'b'}


@then("the attempt has its own id, the remaining time and the caller's key")
def step_headers(context):
    headers = context.host.pool.sent[0].headers
    assert headers['Request-Id'].startswith(context.host.environment.incarnation)
    assert headers['Deadline-Ms'] == '2000'
    assert headers['Idempotency-Key'] == 'k'
