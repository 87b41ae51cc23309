"""Steps of the fleet features for operators who submit declarations concurrently."""

import copy
import time
from concurrent.futures import ThreadPoolExecutor

from behave import then, when


@when('two operators submit different declarations at once')
def step_race(context):
    run, fleet = context.fleet_run, context.fleet_run.fleet
    run.load(6, rate=20)
    names = ('ana', 'eva')
    for name in names:
        # A service named after the operator identifies the declaration that a host has in force.
        changed = copy.deepcopy(fleet.declaration)
        changed['services'][name] = changed['services']['shopfront']
        changed['trial'] = {'share': 0, 'duration_s': 0}
        fleet.write(name, changed)
    with ThreadPoolExecutor() as pool:
        answers = pool.map(lambda name: fleet.submit(name, '--base-revision', '1'), names)
        context.answers = dict(zip(names, answers, strict=True))
    context.submitted = time.monotonic()


@then('one wins and the other gets exit code 5 with the paths that differ')
def step_one_wins(context):
    codes = {name: answer.returncode for name, answer in context.answers.items()}
    assert sorted(codes.values()) == [0, 5], (codes, context.answers)
    context.loser, context.winner = sorted(codes, key=codes.get, reverse=True)
    output = context.answers[context.loser].stdout
    assert '$.services.' in output, output


def winner_is_in_force(context):
    fleet = context.fleet_run.fleet
    statuses = [fleet.read(host, 'status') or {'services': []} for host in fleet.hosts]
    assert not any(context.loser in status['services'] for status in statuses), statuses
    return all(context.winner in status['services'] for status in statuses)


@then('the winner is in force on all 9 hosts within {limit:g} s and stays for {seconds:g} s')
def step_in_force(context, limit, seconds):
    fleet = context.fleet_run.fleet
    fleet.wait_until('in force', lambda: winner_is_in_force(context), limit_s=limit)
    took = time.monotonic() - context.submitted
    assert took <= limit, took
    print(f'in force on all hosts {took:.2f} s after both commands ended')
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        assert winner_is_in_force(context)
        time.sleep(0.1)


@then('it is in force after all hosts but one were started again with the store down')
def step_restart_all(context):
    fleet = context.fleet_run.fleet
    fleet.set_faults(down=True)
    for host in fleet.hosts[1:]:
        fleet.kill(host)
    for host in fleet.hosts[1:]:
        fleet.start_host(host)
    took = fleet.wait_ready()
    assert winner_is_in_force(context)
    print(f'ready again with the store down in {took:.1f} s; the loser was nowhere in force')
    fleet.set_faults(down=False)
    time.sleep(1)
    assert winner_is_in_force(context)
    context.fleet_run.end_load()
    print(context.fleet_run.check())
