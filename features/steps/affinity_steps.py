"""Steps of affinity.feature."""

import random

from behave import given, then, when
from placement_parts import Placement, make_entry, make_route

from balsamrail.placement.completion_estimate import CompletionEstimate
from balsamrail.placement.object_spread import ObjectSpread
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.reported_load import ReportedLoad
from balsamrail.placement.service_objects import ServiceObjects
from balsamrail.placement.target_attempt import AttemptOutcome
from balsamrail.placement.target_state import TargetState

RUN_S = 0.2
# Each request for an object that is not resident may be one of those that are exempt.
TRIES = 4
# Requests at a target of two slots: none is free, and requests for resident objects may wait.
BUSY = 2


@given('two targets of two slots each and requests for {count:d} objects')
def step_objects(context, count):
    context.placement = Placement(make_entry('i-1'), make_entry('i-2'))
    context.now = 10.0
    for target_id in ('i-1', 'i-2'):
        _run(context, target_id, took_s=RUN_S, count=10)
    for number in range(count):
        # Two requests of each, since objects without a second one hint at many more.
        for _ in range(2):
            _select(context, object_key=f'other {number}')
    context.now += 20
    _select(context)


def _run(context, target_id, *, took_s, count=1, object_key='x'):
    state = context.placement.target_registry.state_of(target_id)
    for _ in range(count):
        attempt = state.begin(route='r1', object_key=object_key, aim_s=0.5, now=context.now)
        context.now += took_s
        state.end(attempt, AttemptOutcome.answered, now=context.now)


def _select(context, *, object_key='x', aim_s=5, **inputs):
    return context.placement.target_selector.select(
        make_route(aim_s=aim_s),
        service='lepu',
        object_key=object_key,
        tried=inputs.pop('tried', ()),
        now=context.now,
        **inputs,
    )


def _states(context):
    registry = context.placement.target_registry
    order = registry.order_of('lepu', allowed_regions=frozenset())
    return [registry.state_of(target_id) for target_id in order.candidates('x', per_region=2)]


def _begin(context, state, count):
    for _ in range(count):
        state.begin(route='r1', object_key='x', aim_s=0.5, now=context.now)


@when('requests for a resident object arrive and none ends')
def step_fill(context):
    context.taken = []
    while isinstance(choice := _select(context), TargetState):
        _begin(context, choice, 1)
        context.taken.append(choice)
    context.choice = choice


@then('only its first target takes any, and the next is rejected as {reason}')
def step_first_only(context, reason):
    first, _ = _states(context)
    assert context.taken and set(context.taken) == {first}, context.taken
    assert context.choice.reason == reason, context.choice


@then('both targets take some, and the next is rejected as {reason}')
def step_both(context, reason):
    assert set(context.taken) == set(_states(context)), context.taken
    assert context.choice.reason == reason, context.choice


@when('{count:d} requests for a resident object arrive within {length:d} s')
def step_popular(context, count, length):
    for _ in range(count):
        context.now += length / count
        _select(context)


@then('an idle second target takes a request that would wait at the first one')
def step_second(context):
    first, second = _states(context)
    _begin(context, first, 2)
    assert _select(context) is second


@then('another object that is requested once is spread over one target')
def step_not_spread(context):
    choices = set()
    while isinstance(choice := _select(context, object_key='other 7'), TargetState):
        _begin(context, choice, 1)
        choices.add(choice)
    assert len(choices) <= 1, choices


@when('an object is requested {count:d} times within 1 s at one of {hosts:d} hosts')
def step_chance(context, count, hosts):
    spread = ObjectSpread()
    for number in range(count):
        spread.note('lepu', 'x', priority=0, now=number / count)
    context.spread = _placement(spread, 'x', hosts=hosts, now=1)


def _placement(spread, key, *, priority=0, hosts=1, targets=2, now=0):
    return spread.placement_of(
        'lepu', key, priority=priority, run_s=0.3, slots=2, targets=targets, hosts=hosts, now=now
    )


@then('it is spread over one target')
def step_one(context):
    assert context.spread.targets == 1, context.spread


@when('the first target of a resident object refuses a request since its queue is full')
def step_refused(context):
    first, _ = _states(context)
    first.note_load(ReportedLoad(running=2, waiting=6, slots=2), now=context.now)
    context.choice = _select(context, tried=[first.entry.target_id])


@then('the retry is rejected as {reason}')
def step_retry_rejected(context, reason):
    assert isinstance(context.choice, Rejection), context.choice
    assert context.choice.reason == reason, context.choice


@then('a retry after a lost response gets the second target')
def step_retry_elsewhere(context):
    first, second = _states(context)
    first.note_load(ReportedLoad(running=0, waiting=0, slots=2), now=context.now)
    assert _select(context, tried=[first.entry.target_id]) is second


@when('the first target of a resident object takes {factor:d} times as long three times')
def step_slow(context, factor):
    first, _ = _states(context)
    _run(context, first.entry.target_id, took_s=RUN_S * factor, count=3)
    assert first.is_bad(now=context.now)


@then('the object stays at its first target')
def step_stays(context):
    first, _ = _states(context)
    choices = [_select(context) for _ in range(TRIES)]
    assert choices == [first] * TRIES, choices


@when('three requests wait at both targets, whose runs take {run_s:g} s')
def step_all_busy(context, run_s):
    for state in _states(context):
        _run(context, state.entry.target_id, took_s=run_s, count=60)
    for state in _states(context):
        # Below the limit of the fill, so that only the expected time counts.
        _begin(context, state, 3)


@when('runs at both targets take {run_s:g} s and no request waits')
def step_long_runs(context, run_s):
    for state in _states(context):
        _run(context, state.entry.target_id, took_s=run_s, count=60)
    context.now += 60


@then('a request with {left_s:g} s left is sent to the first target')
def step_sent_idle(context, left_s):
    assert _select(context, left_s=left_s) is _states(context)[0]


@then('a request with {short:g} s left is rejected, and one with {long:g} s left is not')
def step_deadline(context, short, long):
    assert isinstance(_select(context, left_s=short), Rejection)
    assert isinstance(_select(context, left_s=long), TargetState)


@when('one request waits at the first target of a resident object, whose runs take {run_s:g} s')
def step_busy(context, run_s):
    first, _ = _states(context)
    _run(context, first.entry.target_id, took_s=run_s, count=60)
    _begin(context, first, 3)


@then('a request with an objective of {short:g} s is rejected, and one of {long:g} s is not')
def step_objective(context, short, long):
    rejected = [_select(context, aim_s=short) for _ in range(TRIES)]
    assert all(isinstance(choice, Rejection) for choice in rejected), rejected
    assert isinstance(_select(context, aim_s=long), TargetState)


@then('a request with an objective of {aim_s:g} s is sent if a slot is free')
def step_free(context, aim_s):
    first, _ = _states(context)
    for attempt in list(first._attempts)[:2]:
        first.end(attempt, AttemptOutcome.abandoned, now=context.now)
    assert _select(context, aim_s=aim_s) is first


@when('the first target reports that work takes {factor:g} times as long')
def step_slowdown(context, factor):
    first, _ = _states(context)
    context.runs_s = [_expected_run_s(first, context.now)]
    load = ReportedLoad(running=0, waiting=0, slots=2, slowdown=factor)
    first.note_load(load, now=context.now)
    context.runs_s += [_expected_run_s(first, context.now + age_s) for age_s in (0, 0.5)]


def _expected_run_s(state, now):
    return CompletionEstimate.of(state, 'r1', is_warm=True, now=now).run_s


@then('its expected run is {factor:g} times as long, and as usual 0.5 s later')
def step_slower(context, factor):
    usual_s, now_s, later_s = context.runs_s
    assert abs(now_s - usual_s * factor) < 1e-9, context.runs_s
    assert abs(later_s - usual_s) < 1e-9, context.runs_s


@when('a target of six slots reports {count:d} requests of other hosts ten times')
def step_reports(context, count):
    context.state = TargetState(entry=make_entry('i-1', slots=6))
    for second in range(1, 11):
        load = ReportedLoad(running=6, waiting=count - 6, slots=6)
        context.state.note_load(load, now=second)


@then('its load is about as reported 2.5 s after the last report, and 0 after 10 s')
def step_usual_load(context):
    loads = [context.state.load(now=10 + age_s) for age_s in (0, 2.5, 10)]
    assert loads[0] == 12, loads
    assert 6 <= loads[1] <= 12, loads
    assert loads[2] == 0, loads


@when(
    '{urgent:d} objects of priority 0 and {other:d} of priority 2 are requested,'
    ' of which {cached:d} fit the caches'
)
def step_priorities(context, urgent, other, cached):
    context.resident = []
    for seed in range(2):
        spread = ObjectSpread()
        requests = [(f'u{number}', 0) for number in range(urgent)]
        requests += [(f'o{number}', 2) for number in range(other)]
        requests *= 6
        random.Random(seed).shuffle(requests)
        for key, priority in requests:
            spread.note('lepu', key, priority=priority, now=0)
        # One more request avoids the count at which the next one is exempt.
        spread.note('lepu', 'u0', priority=0, now=0)
        context.resident.append(
            {
                (key, priority)
                for key, priority in set(requests)
                if _placement(
                    spread, key, priority=priority, targets=cached / 18, now=0
                ).is_resident
            }
        )


@then('all objects of priority 0 are resident, and a fifth of the others')
def step_resident(context):
    resident = context.resident[0]
    assert sum(priority == 0 for _, priority in resident) == 40, resident
    others = sum(priority == 2 for _, priority in resident)
    assert 20 <= others <= 48, others


@then('hosts that know the same objects name the same ones')
def step_same(context):
    assert context.resident[0] == context.resident[1], context.resident


@when('requests for an object that is not resident arrive while its first target is busy')
def step_other_object(context):
    spread = context.placement.target_selector._object_spread
    for number in range(80):
        key = f'other {number}'
        spread.note('lepu', key, priority=0, now=context.now)
        spread.note('lepu', key, priority=0, now=context.now)
        if not _placement(spread, key, targets=2 / 3, now=context.now).is_resident:
            break
    order = context.placement.target_registry.order_of('lepu', allowed_regions=frozenset())
    first = context.placement.target_registry.state_of(next(order.candidates(key, per_region=2)))
    _begin(context, first, BUSY)
    context.choices = [_select(context, object_key=key, aim_s=5) for _ in range(30)]
    context.first = first


@then('a third of them waits there, and the others are rejected as {reason}')
def step_third(context, reason):
    sent = [choice for choice in context.choices if choice is context.first]
    rejected = [choice for choice in context.choices if isinstance(choice, Rejection)]
    assert len(sent) == len(context.choices) // 3, len(sent)
    assert len(sent) + len(rejected) == len(context.choices), context.choices
    assert {choice.reason for choice in rejected} == {reason}, rejected


@given('two targets in different zones and requests for 8 or 80 objects with large exchanges')
def step_zones(context):
    context.hosts_by_count = {
        count: [
            Placement(
                make_entry('a-1', availability_zone='attiki-a'),
                make_entry('b-1', availability_zone='attiki-b'),
                availability_zone=zone,
                region_by_availability_zone={'attiki-a': 'attiki', 'attiki-b': 'attiki'},
            )
            for zone in ('attiki-a', 'attiki-b')
        ]
        for count in (8, 80)
    }


@when('the hosts of both zones choose targets for the objects')
def step_zone_choices(context):
    context.chosen_by_count = {}
    for count, hosts in context.hosts_by_count.items():
        keys = [f'object {number % count}' for number in range(count * 3)]
        for now, placement in enumerate(hosts):
            for key in keys:
                _select_large(placement, key, now)
        context.chosen_by_count[count] = [
            [_select_large(placement, key, 10) for key in keys[:count]] for placement in hosts
        ]


def _select_large(placement, key, now):
    choice = placement.target_selector.select(
        make_route(), service='lepu', object_key=key, tried=(), now=now, prefers_own_zone=True
    )
    return choice.entry.target_id


@then('with 8 objects each zone uses its own target, and with 80 both use the same')
def step_zone_targets(context):
    assert context.chosen_by_count[8] == [['a-1'] * 8, ['b-1'] * 8], context.chosen_by_count[8]
    first, second = context.chosen_by_count[80]
    assert first == second, context.chosen_by_count[80]
    assert set(first) == {'a-1', 'b-1'}, first


@when('an object that is not resident is requested {count:d} times')
def step_not_resident(context, count):
    spread = ObjectSpread()
    for number in range(400):
        spread.note('lepu', f'o{number % 200}', priority=0, now=0)
    spread.note('lepu', 'o0', priority=0, now=0)
    key = next(
        f'o{number}' for number in range(200) if not _placement(spread, f'o{number}').is_resident
    )
    context.exempt = 0
    for _ in range(count):
        spread.note('lepu', key, priority=0, now=0)
        context.exempt += _placement(spread, key).is_resident
    context.count = count


@then('a third of its requests are placed as those for resident objects')
def step_exempt(context):
    assert context.exempt == context.count // 3, context.exempt


@when('{requests:d} of 2,000 equally popular objects are requested at a host')
def step_few_requests(context, requests):
    source = random.Random(context.seed)
    context.objects = ServiceObjects(began_at=0)
    for number in range(requests):
        context.objects.note(f'o{source.randrange(2000)}', priority=0, now=number / 10)
    context.objects.refresh(now=30)


@then('it estimates between 1,000 and 4,000 objects')
def step_estimate(context):
    assert 1_000 <= context.objects.total() <= 4_000, context.objects.total()


@when('50,000 different objects are requested')
def step_many(context):
    context.objects = ServiceObjects(began_at=0)
    for number in range(50_000):
        context.objects.note(f'o{number}', priority=0, now=number / 1e5)


@then('fewer than 5,000 are kept')
def step_kept(context):
    kept = len(context.objects._current) + len(context.objects._previous)
    assert kept < 5_000, kept
