"""Steps of feed_currency.feature for a store that comes back from an older copy."""

import asyncio
import re

from behave import then, when
from feed_region import started_fleet
from virtual_time import run_virtual

# Delays from the return of the store to the change, in seconds.
DELAYS_S = (0.0, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 6.0)
OBSERVED_S = 12
FIRST_REGION = 'region0'
DISCOVERY_S = 0.02


async def return_older(fleet, contents, outage_s):
    """Take the store away for a time, and return it with older contents."""
    fleet.source.is_up = not outage_s
    await asyncio.sleep(outage_s)
    fleet.source.restore(contents)
    fleet.source.is_up = True


async def write_and_lose(fleet, outages_s):
    """Write changes that the store loses when it returns; return the number of versions."""
    contents = fleet.source.copy_contents()
    versions = 1
    for outage_s in outages_s:
        for _ in range(3):
            versions += 1
            fleet.source.write('main', versions)
        await asyncio.sleep(2)
        await return_older(fleet, contents, outage_s)
    return versions


@when(
    'the store comes back {returns} without the last changes'
    ' and the manifest changes at any moment'
)
def step_restored(context, returns):
    outages_s = [float(text) for text in re.findall(r'after (\d+) s', returns)]

    async def run_once(delay_s):
        async with started_fleet(context.sizes) as fleet:
            versions = await write_and_lose(fleet, outages_s)
            await asyncio.sleep(delay_s)
            return await fleet.propagation_s(versions + 1, limit_s=OBSERVED_S)

    context.received_after_s = {delay_s: run_virtual(run_once(delay_s)) for delay_s in DELAYS_S}


@when('the store comes back older and {restarted} restart before the manifest is written again')
def step_restarted(context, restarted):
    async def run_once():
        async with started_fleet(context.sizes) as fleet:
            versions = await write_and_lose(fleet, [2.0])
            await asyncio.sleep(1)
            watchers = fleet.watchers(FIRST_REGION)
            followers = [host for host in fleet.live_hosts() if not host.is_watching()]
            hosts = followers[::8] if restarted == 'followers' else watchers[:1]
            for host in hosts:
                fleet.restart(host.member.host, discovers_after_s=DISCOVERY_S)
            names = [host.member.host for host in hosts]
            context.seen = await _versions_seen(fleet, names)
            context.newest = versions

    run_virtual(run_once())


async def _versions_seen(fleet, names):
    """Return when each host first had which versions, in seconds after the start."""
    seen = {name: [] for name in names}
    for step in range(300):
        for name in names:
            version = fleet.hosts[name].version()
            if not seen[name] or seen[name][-1][1] != version:
                seen[name].append((step / 100, version))
        await asyncio.sleep(0.01)
    return seen


@then('they have the manifest in force within {in_force_s:g} s of their start, and keep it')
def step_newest(context, in_force_s):
    assert context.seen
    for name, versions in context.seen.items():
        after_s, version = versions[-1]
        assert version == context.newest and after_s <= in_force_s, (name, versions)
