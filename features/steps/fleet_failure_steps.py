"""Steps of the fleet features for failures of hosts, upstreams and the store."""

import random
import signal
import time
from contextlib import contextmanager

from behave import given, when
from fleet_run import FleetRun

from tools.fleet import call

SHORT = {'suspect_after_s': 1, 'gone_after_s': 2, 'user_timeout_s': 2}


@given('9 host processes')
def step_fleet(context):
    # At this service time the load is close to the number of slots, so that excess admissions are
    # detected.
    context.fleet_run = FleetRun(context, limits=SHORT, behaviour={'service_time_s': 0.4})
    context.fleet_run.start()
    context.random = random.Random(context.seed)


@when('{count:d} hosts are killed and started again one after the other')
def step_kills(context, count):
    run = context.fleet_run
    for host in context.random.sample(run.fleet.hosts, count):
        run.fleet.kill(host)
        time.sleep(0.7)
        run.fleet.start_host(host)
        time.sleep(0.5)


@contextmanager
def paused(fleet, hosts):
    for host in hosts:
        fleet.signal(host, signal.SIGSTOP)
        # The platform also removes the host from its list, so that its shares are reassigned.
        call(fleet.store_address, 'DELETE', f'/hosts/{host}')
    yield hosts
    for host in hosts:
        fleet.signal(host, signal.SIGCONT)


@when('{count:d} hosts are paused for {seconds:g} s and resumed')
def step_pause(context, count, seconds):
    fleet = context.fleet_run.fleet
    with paused(fleet, context.random.sample(fleet.hosts, count)):
        time.sleep(seconds)
    print(f'resumed {time.monotonic() - context.fleet_run.started:.2f} s after the start')


@when('the upstreams of each region are killed and started again in turn')
def step_upstreams(context):
    restart_upstreams(context.fleet_run.fleet)


def restart_upstreams(fleet):
    for region in fleet.declaration['regions']:
        fleet.kill(region)
        time.sleep(0.8)
        fleet.start_upstream(region)
        time.sleep(1)


@when('the store is down, then slow, then loses every answer for {seconds:g} s each')
def step_store(context, seconds):
    fleet = context.fleet_run.fleet
    for faults in ({'down': True}, {'delay_s': 1.5}, {'lose_answers': 100_000}, {}):
        fleet.set_faults(**{'down': False, 'delay_s': 0, 'lose_answers': 0, **faults})
        time.sleep(seconds if faults else 1)


@when('{count:d} hosts are killed and started again while the store is down')
def step_kills_without_store(context, count):
    context.fleet_run.fleet.set_faults(down=True)
    step_kills(context, count)
    context.fleet_run.fleet.set_faults(down=False)


@when('2 hosts are paused while the upstreams of each region are killed and started again')
def step_paused_and_upstreams(context):
    fleet = context.fleet_run.fleet
    with paused(fleet, context.random.sample(fleet.hosts, 2)):
        restart_upstreams(fleet)


@when('hosts, upstreams and the store fail at random for {seconds:g} s')
def step_random(context, seconds):
    fleet, choice = context.fleet_run.fleet, context.random
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        fleet.set_faults(
            down=choice.random() < 0.3,
            delay_s=choice.choice((0, 0, 1.5)),
            lose_answers=choice.choice((0, 0, 5)),
        )
        with paused(fleet, choice.sample(fleet.hosts, choice.randrange(3))) as hosts:
            if choice.random() < 0.5:
                restart_upstreams(fleet)
            running = [host for host in fleet.hosts if host not in hosts]
            for host in choice.sample(running, choice.randrange(4)):
                fleet.kill(host)
                time.sleep(choice.uniform(0, 2))
                fleet.start_host(host)
            time.sleep(choice.choice((0, 1, 12)))
    fleet.set_faults(down=False, delay_s=0, lose_answers=0)
