"""Steps of the fleet features: real processes under failures."""

import random
import signal
import time

from behave import given, then, when
from fleet_run import FleetRun


@given('a fleet of 9 hosts')
def step_fleet(context):
    context.fleet_run = FleetRun(context)
    context.fleet_run.start()


@when('for {seconds:g} s hosts are killed and started again while callers resend')
def step_kills(context, seconds):
    run, choice = context.fleet_run, random.Random(context.seed)
    run.load(seconds)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        time.sleep(0.5)
        host = choice.choice(run.fleet.hosts)
        run.fleet.kill(host)
        time.sleep(0.7)
        run.fleet.start_host(host)
    run.end_load()


@then('no key ran twice, nobody was told wrongly and no region went above its slots')
def step_history_holds(context):
    print(context.fleet_run.check())
