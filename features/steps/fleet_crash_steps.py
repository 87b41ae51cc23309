"""Steps of the fleet features for a request that crashes its targets."""

import json
import random
import time
from collections import Counter

from behave import given, then, when
from fleet_run import FleetRun, body_digest


@given('9 host processes whose bookings targets crash on a marked request')
def step_crashing(context):
    context.fleet_run = FleetRun(
        context, alone='bookings', behaviour={'service_time_s': 0.4, 'crash_marker': 'CRASH'}
    )
    context.fleet_run.start()


@when('the marked request is resent to other hosts with new keys every {pause:g} s')
def step_crash(context, pause):
    run, fleet = context.fleet_run, context.fleet_run.fleet
    run.load(7, rate=40, own_keys=0)
    time.sleep(1)
    choice = random.Random(context.seed)
    context.crash_answers = []
    for number in range(int(5 / pause)):
        host = choice.choice(fleet.hosts)
        answer = run.book(host, key=f'crash-{number}', body='{"mark": "CRASH"}')
        context.crash_answers.append(answer[1].get('code', 'done'))
        time.sleep(pause)


@then('at most {limit:d} targets are lost')
def step_lost(context, limit):
    fleet = context.fleet_run.fleet
    lost = [name for name, process in fleet.process_by_name.items() if process.poll() == 70]
    print(f'targets lost: {len(lost)}, answers: {Counter(context.crash_answers)}')
    assert 0 < len(lost) <= limit, lost
    assert context.crash_answers[-1] == 'crashes_targets', context.crash_answers


@then('requests that were in flight beside it are served when they are sent again')
def step_neighbours(context):
    run = context.fleet_run
    run.end_load()
    beside = {
        execution['body_digest']
        for execution in run.fleet.executions()
        if execution['state'] == 'crashed' and execution['method'] == 'POST'
    }
    numbers = range(7 * 40)
    bodies = [json.dumps({'number': number}) for number in numbers]
    again = [body for body in bodies if body_digest(body) in beside]
    for number, body in enumerate(again):
        run.fleet.wait_until(
            'a neighbour is served',
            lambda: (
                run.book(
                    run.fleet.hosts[number % 9], key=f'again-{number}-{time.time()}', body=body
                )[0]
                == 200
            ),
            limit_s=5,
        )
    print(f'{len(again)} requests that ran beside it were served when sent again; {run.check()}')
