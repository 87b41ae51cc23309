"""Steps of large_fleet.feature."""

import asyncio
import random

from behave import given, then, when
from feed_region import assert_in_time, started_fleet
from virtual_time import run_virtual

REGIONS = ('region0', 'region1', 'region2')
FIRST_REGION = REGIONS[0]
RETURN_S = 6
OBSERVED_S = 12


def start_fleet(hosts_per_region):
    return started_fleet(dict.fromkeys(REGIONS, hosts_per_region))


@given('a fleet of 3 regions with {count:d} hosts each that have the manifest')
def step_fleet(context, count):
    context.hosts_per_region = count


def _lose_power(context, select, seconds):
    async def run_once():
        async with start_fleet(context.hosts_per_region) as fleet:
            context.lost = lost = select(fleet)
            for name in lost:
                fleet.hosts[name].kill()
            await asyncio.sleep(seconds)
            for host in fleet.hosts.values():
                host.access.listings = 0
            for name in lost:
                fleet.restart(name)
            await asyncio.sleep(RETURN_S)
            context.listers = [name for name, host in fleet.hosts.items() if host.access.listings]
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)

    context.received_after_s = run_virtual(run_once())


@when('{lost} of the first region lose power for {seconds:d} s')
def step_region_loss(context, lost, seconds):
    def select(fleet):
        local = [host for host in fleet.live_hosts() if host.member.region == FIRST_REGION]
        match lost:
            case 'the hosts of a zone':
                zone = local[0].member.availability_zone
                local = [host for host in local if host.member.availability_zone == zone]
            case 'both watchers':
                local = fleet.watchers(FIRST_REGION)
        return [host.member.host for host in local]

    _lose_power(context, select, seconds)


@when('half of all hosts lose power for {seconds:d} s')
def step_half(context, seconds):
    def select(fleet):
        names = sorted(fleet.hosts)
        return random.Random(context.seed).sample(names, len(names) // 2)

    _lose_power(context, select, seconds)


@then('at most {count:d} hosts list the store while they return')
def step_listers(context, count):
    print(f'{len(context.listers)} hosts listed the store')
    assert len(context.listers) <= count, context.listers


@then('at most a quarter of them list the store while they return')
def step_quarter(context):
    step_listers(context, len(context.lost) // 4)


@then('all hosts have the next change {limit_s:g} s after it')
def step_change(context, limit_s):
    assert_in_time(context.received_after_s, limit_s)


@when('fleets of 3 regions with {small:d} and with {large:d} hosts each start for the first time')
def step_starts(context, small, large):
    async def start(count):
        async with start_fleet(count) as fleet:
            accesses = [host.access for host in fleet.hosts.values()]
            return sum(access.calls for access in accesses), [
                access for access in accesses if access.listings
            ]

    context.starts = [run_virtual(start(count)) for count in (small, large)]


@then('both make the same number of calls to the store, and {count:d} hosts list it')
def step_same(context, count):
    (small_calls, small_listers), (large_calls, large_listers) = context.starts
    assert small_calls == large_calls, (small_calls, large_calls)
    assert len(small_listers) == len(large_listers) == count
