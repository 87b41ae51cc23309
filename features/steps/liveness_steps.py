"""Steps of liveness.feature."""

import asyncio
from unittest import mock

import platform_helpers
from behave import given, then, when
from placement_parts import make_entry, make_manifest
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.delivery import liveness_checker
from balsamrail.delivery.connect_probe import Reachability
from balsamrail.delivery.liveness_checker import LivenessChecker
from balsamrail.placement.probe_schedule import ProbeSchedule
from balsamrail.placement.target_attempt import AttemptOutcome
from balsamrail.placement.target_registry import TargetRegistry

_STEP_S = 0.01


class Targets:
    """Registered targets by id, and the schedule of their probes."""

    def __init__(self, entries):
        environment = platform_helpers.make_environment()
        self.environment = environment
        self.catalog = Catalog(environment=environment)
        self.catalog.offer_manifest(make_manifest())
        for entry in entries:
            self.catalog.put_target(entry)
        self.registry = TargetRegistry(catalog=self.catalog, settings=environment.settings)
        self.registry.refresh(now=0)
        self.schedule = ProbeSchedule(busy=self.registry.busy)

    def state(self, target_id):
        return self.registry.states_by_id[target_id]

    def begin(self, target_id, *, now, aim_s=1.5, object_key='x', is_known=True):
        """Begin a request; the target has run one for the object before if ``is_known``."""
        state = self.state(target_id)
        if is_known:
            earlier = state.begin(route='r1', object_key=object_key, aim_s=aim_s, now=now)
            state.end(earlier, AttemptOutcome.abandoned, now=now)
        return state.begin(route='r1', object_key=object_key, aim_s=aim_s, now=now)

    def due(self, now):
        return {state.entry.target_id for state in self.schedule.due(now=now)}

    def first_due(self, target_id, *, since, limit_s=20):
        """Return after how many seconds the target is first due for a probe."""
        for step in range(int(limit_s / _STEP_S)):
            if target_id in self.due(since + step * _STEP_S):
                return round(step * _STEP_S, 2)
        return None


def make_targets(count, **fields):
    async def make():
        return Targets([make_entry(f'i-{number}', **fields) for number in range(count)])

    return run_virtual(make())


@given('a target that knows the object and one that does not')
def step_two(context):
    context.targets = make_targets(2)


@when('a request with an objective of {aim:g} s is sent to each and both send nothing')
def step_send(context, aim):
    context.targets.begin('i-0', now=100, aim_s=aim)
    context.targets.begin('i-1', now=100, aim_s=aim, is_known=False)


@then('they are probed {known:g} s and {unknown:g} s later')
def step_probed(context, known, unknown):
    found = [context.targets.first_due(target_id, since=100) for target_id in ('i-0', 'i-1')]
    assert found == [known, unknown], found


@when(
    'requests with an objective of 1.5 s each run for 0.8 s, or for 2.6 s if their object is new'
)
def step_normal(context):
    targets = make_targets(8)
    context.due = set()
    runs = []
    for step in range(3_000):
        now = step * _STEP_S
        for ended in [run for run in runs if now >= run[0]]:
            runs.remove(ended)
            targets.state(ended[1]).end(ended[2], AttemptOutcome.answered, now=now)
        if not step % 10:
            target_id, is_known = f'i-{step // 10 % 8}', step > 200
            key = f'object {step // 10 % 24}'
            attempt = targets.begin(target_id, now=now, object_key=key, is_known=is_known)
            runs.append((now + (0.8 if is_known else 2.6), target_id, attempt))
        context.due |= targets.due(now)


@then('no target is probed')
def step_no_probe(context):
    assert not context.due, context.due


@when('a target passes each probe while it sends nothing for {seconds:d} s')
def step_pass(context, seconds):
    context.targets = make_targets(1)
    context.attempts = [context.targets.begin('i-0', now=0) for _ in range(2)]
    context.probe_times = []
    for step in range(int(seconds / _STEP_S)):
        now = step * _STEP_S
        if context.targets.due(now):
            context.probe_times.append(now)
            context.targets.schedule.note_passed(context.targets.state('i-0'), now=now)
    context.now = seconds


@then('it is probed at most {count:d} times')
def step_probe_count(context, count):
    assert 2 <= len(context.probe_times) <= count, context.probe_times


@then('a response makes the next silence start anew')
def step_anew(context):
    context.targets.state('i-0').end(context.attempts[0], AttemptOutcome.answered, now=context.now)
    assert context.targets.first_due('i-0', since=context.now) == 1.2


@given('targets in two zones with requests in flight for 0.5 s that are not due for a probe')
def step_zones(context):
    async def make():
        zones = ['attiki-a'] * 3 + ['attiki-b'] * 3
        return Targets(
            [make_entry(f'i-{n}', availability_zone=zone) for n, zone in enumerate(zones)]
        )

    context.targets = run_virtual(make())
    for number in range(6):
        context.targets.begin(f'i-{number}', now=10)
    assert not context.targets.due(10.5)


@when('one of the first zone is found silent')
def step_found(context):
    context.targets.schedule.note_silent(context.targets.state('i-0'), now=10.5)


@then('exactly the targets of its zone are due, and 5 s after the last finding they are not')
def step_zone_due(context):
    assert context.targets.due(10.5) == {'i-0', 'i-1', 'i-2'}
    for number in range(6):
        context.targets.begin(f'i-{number}', now=15.5)
        context.targets.state(f'i-{number}').last_response_at = 15.5
    assert not context.targets.due(16.1)


@given('a target with a request in flight')
def step_in_flight(context):
    context.targets = make_targets(1)
    context.state = context.targets.state('i-0')
    context.attempt = context.targets.begin('i-0', now=0)


@when('the target is removed from the store and sends nothing')
def step_remove(context):
    context.targets.catalog.drop_target('i-0', reason='gone')
    context.targets.registry.refresh(now=0.1)
    assert context.targets.registry.state_of('i-0') is None


@then('it is probed, and no longer when the request has ended')
def step_still_probed(context):
    assert context.targets.due(1.3) == {'i-0'}
    context.state.end(context.attempt, AttemptOutcome.abandoned, now=1.4)
    assert not context.targets.due(2)
    assert not context.targets.registry.busy


def _check(targets, probe, seconds):
    """Run the liveness checker with ``probe`` in place of connections."""

    async def main():
        checker = LivenessChecker(
            environment=targets.environment, target_registry=targets.registry
        )
        with mock.patch.object(liveness_checker, 'probe_reachability', probe):
            task = asyncio.create_task(checker.run())
            await asyncio.sleep(seconds)
            task.cancel()

    return main()


@given('{count:d} targets of which {busy:d} have requests in flight and all accept connections')
def step_many(context, count, busy):
    context.count, context.busy = count, busy


@when('the liveness checker of a host runs for {seconds:d} s while nothing is sent')
def step_run(context, seconds):
    context.probed = []

    async def probe(*, environment, address, timeout_s):
        context.probed.append(address)
        return Reachability.accepting

    async def main():
        entries = [make_entry(f'i-{n}', address=f'10.0.0.1:{n}') for n in range(context.count)]
        targets = Targets(entries)
        for number in range(context.busy):
            targets.begin(f'i-{number}', now=0)
        await _check(targets, probe, seconds)

    run_virtual(main())


@then('it opens at most {limit:d} connections, all of them to the {busy:d} targets')
def step_bounded(context, limit, busy):
    assert 0 < len(context.probed) <= limit, len(context.probed)
    assert set(context.probed) == {f'10.0.0.1:{number}' for number in range(busy)}


@then('it probes the targets in the order of their requests')
def step_ordered(context):
    expected = [f'10.0.0.1:{number}' for number in range(context.busy)]
    assert context.probed[: context.busy] == expected, context.probed


@given('a target whose address does not accept connections')
def step_silent(context):
    async def probe(*, environment, address, timeout_s):
        await asyncio.sleep(timeout_s)
        return Reachability.silent

    context.probe = probe


@when('it responds to one request while another one makes it due for a probe')
def step_respond(context):
    async def main():
        targets = Targets([make_entry('i-0')])
        state = targets.state('i-0')
        first = targets.begin('i-0', now=0)
        targets.begin('i-0', now=0)
        # The probe takes from 1.2 s to 1.7 s.
        asyncio.get_running_loop().call_at(
            1.5, lambda: state.end(first, AttemptOutcome.answered, now=1.5)
        )
        await _check(targets, context.probe, 2)
        context.is_down = state.is_down

    run_virtual(main())


@then('it is not marked as down')
def step_up(context):
    assert not context.is_down


@when('a request for an object that it knows is sent with an objective of {aim:g} s')
def step_send_known(context, aim):
    async def main():
        targets = Targets([make_entry('i-0')])
        targets.begin('i-0', now=0, aim_s=aim)
        await _check(targets, context.probe, 3)
        context.down_since = targets.state('i-0').availability.down_since

    run_virtual(main())


@then('it is marked as down between {earliest:g} s and {latest:g} s later')
def step_down(context, earliest, latest):
    assert earliest <= context.down_since <= latest, context.down_since
