"""Steps of steering.feature for ejection, recovery and slow start of single targets."""

from random import Random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from steering_fakes import FakeMembers, FakeNetwork, Fleet, Hub, make_declaration, make_environment
from virtual_time import run_virtual

from balsamrail.steering import AttemptResult
from balsamrail.steering.outlier_ejector import OutlierEjector
from balsamrail.steering.target_picker import TargetPicker
from balsamrail.steering.target_prober import TargetProber
from balsamrail.steering.target_state import TargetState


@then('at most half of the targets are ejected for any sequence of attempt results')
def step_half(context):
    outcome = st.sampled_from(list(AttemptResult))
    event = st.tuples(st.integers(0, 6), outcome, st.floats(0, 8))

    @for_all(st.lists(event, max_size=200), st.integers(1, 7))
    def check(events, targets):
        now = 0.0
        ejector = OutlierEjector()
        for place, result, pause_s in events:
            now += pause_s
            ejector.observe(f't{place % targets}', result, now=now, targets=targets)
            assert ejector.ejected_count(now=now) <= targets / 2
        left = {f't{place}' for place in range(max(1, targets - 2))}
        ejector.retain(left, now=now)
        assert ejector.ejected_count(now=now) <= len(left) / 2

    check()


@then('after five failures a target is ejected for 5 seconds and then for 10')
def step_doubling(context):
    ejector = OutlierEjector()

    def fail(now):
        return ejector.observe('t', AttemptResult.failed, now=now, targets=4)

    assert [fail(0) for _ in range(5)] == [False] * 4 + [True]
    assert ejector.ejected('t', now=4.9) and not ejector.ejected('t', now=5)
    assert fail(6)
    assert ejector.ejected('t', now=15.9) and not ejector.ejected('t', now=16)


@given('a host that ejected a target')
def step_ejected(context):
    declaration = make_declaration()
    context.picker = TargetPicker(random=Random(1), slow_start_s=0)
    targets = declaration.targets_in(service='diary', region='attiki')
    context.picker.update(targets, now=0, slow_start_s=0)
    state = context.picker.start(targets[0].address)
    assert context.picker.finish(state, AttemptResult.crashed, now=1000)
    context.state = state


async def leaving_after_reports(state, stages):
    """Probe a target that reports each stage, and return for each whether it counts as leaving."""
    fleet, hub = Fleet(), Hub(delay_s=0)
    environment = make_environment('a1', region='attiki')
    fleet.add(environment)
    answers = iter([{'state': stage, 'in_flight': 0, 'slots': 4} for stage in stages])

    async def fetch(address):
        return next(answers)

    prober = TargetProber(
        environment=environment,
        members=FakeMembers(fleet, 'a1'),
        network=FakeNetwork(hub, 'a1'),
        states=lambda region: [('diary', state)],
        fetch=fetch,
    )
    leaving = []
    for _ in stages:
        await prober.probe('diary', state)
        leaving.append(state.leaving)
    return leaving


@when('it reports three times that it is live')
def step_says_live(context):
    run_virtual(leaving_after_reports(context.state, ['live'] * 3))


@then('a leaving target receives requests again after the second live report in a row')
def step_live_again(context):
    state = TargetState(address='10.0.0.1:80', slots=4, connections=10, since=0)
    stages = ['leaving', 'live', 'leaving', 'live', 'live']
    assert run_virtual(leaving_after_reports(state, stages)) == [True, True, True, True, False]


@then('a new target of 4 slots takes 1, 2 and 4 requests after 1, 15 and 30 seconds')
def step_slow_start(context):
    targets = make_declaration().targets_in(service='diary', region='attiki')
    address, taken = targets[-1].address, []
    for age_s in (1, 15, 30):
        picker = TargetPicker(random=Random(1), slow_start_s=30)
        picker.update(targets[:1], now=0, slow_start_s=30)
        picker.update(targets, now=100, slow_start_s=30)
        while picker.can_take_request(address, now=100 + age_s):
            picker.start(address)
        taken.append(picker.state_by_address[address].in_flight)
    assert taken == [1, 2, 4], taken


@then('the target still receives no requests')
def step_no_work(context):
    assert not context.picker.can_take_request(context.state.address, now=1004)
    assert context.picker.can_take_request(context.state.address, now=1006)
