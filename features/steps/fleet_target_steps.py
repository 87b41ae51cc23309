"""Steps of the fleet features for leaving targets and silent connections."""

import time
from collections import Counter

from behave import given, then, when
from fleet_run import FleetRun

from tools.fleet import call


@when('one target after the other leaves: {conditions}')
def step_leave(context, conditions):
    run, fleet = context.fleet_run, context.fleet_run.fleet
    run.load(12, rate=60)
    targets = [
        target['address'] for target in fleet.declaration['services']['bookings']['targets']
    ]
    context.after_leaving = {}
    for number, condition in enumerate(conditions.split(', ')):
        faults = {'the list lags': {'list_lag_s': 600}, 'the store is down': {'down': True}}
        fleet.set_faults(**faults.get(condition, {}))
        call(targets[number], 'POST', '/behaviour', body='{"state": "leaving"}')
        time.sleep(4)
        page = call(targets[number], 'GET', '/executions')[1]
        context.after_leaving[condition] = page['work_after_leaving_s']


@then('no target got new work more than {seconds:g} s after it began to leave')
def step_no_new_work(context, seconds):
    run = context.fleet_run
    run.end_load()
    print(f'last new work after leaving, in s: {context.after_leaving}; {run.check()}')
    assert max(context.after_leaving.values()) <= seconds, context.after_leaving


@given('9 host processes with spare capacity')
def step_spare(context):
    context.fleet_run = FleetRun(context)
    context.fleet_run.start()


@when('all open connections to the upstreams go silent')
def step_silence(context):
    run, fleet = context.fleet_run, context.fleet_run.fleet
    run.load(9, rate=60, reads=0.5)
    time.sleep(2)
    for service in fleet.declaration['services'].values():
        for target in service['targets']:
            call(target['address'], 'POST', '/behaviour', body='{"silence_open": true}')
    context.silenced = time.monotonic()


@then('after {seconds:g} s each new request is done and no target is marked down')
def step_recovered(context, seconds):
    run, fleet = context.fleet_run, context.fleet_run.fleet
    time.sleep(seconds)
    dumps = [fleet.read(host, 'dump') for host in fleet.hosts]
    run.end_load()
    first_by_key = {send['key']: send for send in reversed(run.sends())}
    late = [send for send in first_by_key.values() if send['called'] > context.silenced + seconds]
    told = Counter(send['told'] for send in late)
    waited = max(send['returned'] - send['called'] for send in run.sends())
    print(f'{run.check()}; after {seconds} s {dict(told)}, longest answer {waited:.2f} s')
    dead = [
        target
        for dump in dumps
        for target, state in dump['router']['targets'].items()
        if not state['ready'] or state['leaving']
    ]
    assert not dead, dead
    assert not any('ejections' in dump['metrics']['counters'] for dump in dumps)
    assert not any(dump['forwarder']['crashes'] for dump in dumps)
    # A request may exceed the share of its host, which is independent of the connections.
    assert set(told) <= {'done', 'not_run'}, told
    assert told['done'] > 0.9 * told.total(), told
