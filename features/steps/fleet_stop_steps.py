"""Steps of the fleet features for planned stops of hosts."""

import signal
import socket
import time
from concurrent.futures import ThreadPoolExecutor

from behave import given, then, when
from fleet_run import FleetRun


@given('9 host processes whose look-ups have a time to live of 1.5 s')
def step_short_ttl(context):
    context.fleet_run = FleetRun(
        context, limits={'lookup_ttl_s': 1.5}, behaviour={'service_time_s': 0.4}
    )
    context.fleet_run.start()


@when('{count:d} hosts at a time are stopped as planned in turn, while callers follow look-ups')
def step_stops(context, count):
    stop_in_groups(context, count, lambda group: None)


@when(
    '{count:d} hosts at a time are stopped as planned and paused for {seconds:g} s'
    ' as soon as they listen again'
)
def step_slow_starts(context, count, seconds):
    fleet = context.fleet_run.fleet

    def pause_listening(host):
        wait_until_listening(fleet.settings_by_host[host]['caller_address'])
        fleet.signal(host, signal.SIGSTOP)

    def pause(group):
        # Each by itself, since one that listens while another is awaited is named soon.
        with ThreadPoolExecutor() as pool:
            list(pool.map(pause_listening, group))
        time.sleep(seconds)
        for host in group:
            fleet.signal(host, signal.SIGCONT)

    stop_in_groups(context, count, pause)


def wait_until_listening(address, limit_s=20):
    number, port = address.split(':')
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        try:
            socket.create_connection((number, int(port)), timeout=0.2).close()
        except OSError:
            time.sleep(0.002)
        else:
            return
    raise AssertionError(f'{address} does not listen within {limit_s} s')


def stop_in_groups(context, count, after_start):
    run, fleet = context.fleet_run, context.fleet_run.fleet
    hosts = sorted(fleet.hosts, key=lambda host: (host.split('-')[1:], host))
    groups = [hosts[first : first + count] for first in range(0, len(hosts), count)]
    # Callers look up once per second and only use hosts of the latest answer.
    run.load(len(groups) * 4, rate=40, sends=1, own_keys=0)
    time.sleep(1)
    context.stops = []
    for group in groups:
        with ThreadPoolExecutor() as pool:
            context.stops += pool.map(fleet.terminate, group)
        for host in group:
            fleet.start_host(host)
        after_start(group)
        fleet.wait_ready()


@then('every stop ended with exit code 0 and no request was cut off')
def step_no_cut(context):
    run = context.fleet_run
    run.end_load()
    drains = sorted(seconds for _, seconds in context.stops)
    assert len(drains) == len(run.fleet.hosts)
    assert {code for code, _ in context.stops} == {0}, context.stops
    lost = [send for send in run.sends() if send['told'] not in {'done', 'not_run'}]
    assert not lost, (len(lost), lost[:3])
    print(f'{run.check()}, drain {drains[0]:.2f} to {drains[-1]:.2f} s')
