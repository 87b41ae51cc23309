"""Steps of feed_currency.feature for hosts and sources that restart."""

import asyncio

from behave import then, when
from feed_region import assert_in_time, started_fleet
from virtual_time import run_virtual

OBSERVED_S = 12
NEVER_S = 1e6
FIRST_REGION = 'region0'


@when('the sources of a follower restart {interval_s:g} s apart')
def step_restart_sources(context, interval_s):
    async def run_once():
        async with started_fleet(context.sizes, objects=('i-1',)) as fleet:
            _, sources = fleet.follower_with_relays()
            accesses = {
                host.member.host: host.access
                for host in fleet.live_hosts()
                if host.member.region == FIRST_REGION and not host.is_watching()
            }
            for access in accesses.values():
                access.listings = 0
            for source in sources:
                fleet.restart(source)
                await asyncio.sleep(interval_s)
            fleet.source.remove('i-1')
            await asyncio.sleep(3)
            context.listers = [host for host, access in accesses.items() if access.listings]
            context.hosts_with_object = fleet.hosts_with('i-1')
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)

    context.received_after_s = run_virtual(run_once())


@then('no follower of the first region has listed the store')
def step_no_listers(context):
    assert not context.listers, context.listers


@then(
    'every host has the next change within {limit_s:g} s, and no object that was removed meanwhile'
)
def step_next_change(context, limit_s):
    assert_in_time(context.received_after_s, limit_s)
    assert not context.hosts_with_object, context.hosts_with_object


@when(
    'a source loses a removal just after the other source was cut off from the store and its peers'
)
def step_double_gap(context):
    async def run_once(lead_s, gap_s):
        async with started_fleet(context.sizes) as fleet:
            # Written after the sources have listed the store, so that their listings keep it.
            fleet.source.write('i-1', 1)
            await asyncio.sleep(2)
            name, (losing, isolated, *_) = fleet.follower_with_relays()
            fleet.hosts[isolated].access.is_refused = True
            fleet.cut_off_from_peers(isolated, but=name)
            await asyncio.sleep(lead_s)
            link = frozenset((losing, name))
            fleet.cut_links.add(link)
            await asyncio.sleep(gap_s / 2)
            fleet.source.remove('i-1')
            await asyncio.sleep(gap_s / 2)
            fleet.cut_links.discard(link)
            await asyncio.sleep(5)
            return [name] if fleet.hosts[name].has_object('i-1') else []

    context.hosts_with_object = {
        (lead_s, gap_s): run_virtual(run_once(lead_s, gap_s))
        for lead_s in (0, 0.3, 0.8)
        for gap_s in (0.3, 1.0, 1.4)
    }


async def _observe_restart(fleet, name, limit_s, *, discovers_after_s=0):
    """Restart a host; return the versions that it has by time since its start."""
    host = fleet.restart(name, discovers_after_s=discovers_after_s)
    started = asyncio.get_running_loop().time()
    versions = []
    while asyncio.get_running_loop().time() - started < limit_s:
        after_s = asyncio.get_running_loop().time() - started
        versions.append((after_s, host.version(), host.has_object('i-1')))
        await asyncio.sleep(0.02)
    return versions


@when('a follower restarts beside sources that have heard of no change for 3 s')
def step_restart_outdated(context):
    async def run_once():
        async with started_fleet(context.sizes, objects=('i-1',)) as fleet:
            name, sources = fleet.follower_with_relays()
            for source in sources:
                fleet.hosts[source].access.is_refused = True
                fleet.cut_off_from_peers(source, but=name)
            await asyncio.sleep(0.5)
            fleet.source.write('main', 2)
            fleet.source.remove('i-1')
            await asyncio.sleep(3)
            return await _observe_restart(fleet, name, 4)

    context.versions = run_virtual(run_once())
    context.expected_version = 2


@when('a follower restarts and finds the other hosts {found}')
def step_restart_discovery(context, found):
    async def run_once():
        async with started_fleet(context.sizes) as fleet:
            name, _ = fleet.follower_with_relays()
            access = fleet.hosts[name].access
            access.listings = 0
            discovers_after_s = NEVER_S if found == 'never' else float(found.split()[1])
            versions = await _observe_restart(fleet, name, 2, discovers_after_s=discovers_after_s)
            return versions, access.listings

    context.versions, context.listings = run_virtual(run_once())
    context.expected_version = 1


@when('all hosts restart, and a follower finds the others as they start')
def step_restart_all(context):
    async def run_once():
        async with started_fleet(context.sizes) as fleet:
            name, _ = fleet.follower_with_relays()
            access = fleet.hosts[name].access
            for other in sorted(set(fleet.hosts) - {name}):
                fleet.restart(other)
            access.listings = 0
            versions = await _observe_restart(fleet, name, 2)
            return versions, access.listings

    context.versions, context.listings = run_virtual(run_once())
    context.expected_version = 1


@then('it has {listed} the store')
def step_listed(context, listed):
    assert bool(context.listings) == (listed == 'listed'), context.listings


@when('the store refuses all hosts and a follower restarts')
def step_restart_outage(context):
    async def run_once():
        async with started_fleet(context.sizes) as fleet:
            name, _ = fleet.follower_with_relays()
            for host in fleet.hosts.values():
                host.access.is_refused = True
            await asyncio.sleep(3)
            return await _observe_restart(fleet, name, 6)

    context.versions = run_virtual(run_once())
    context.expected_version = 1


@then('it never has the old manifest or the removed object')
def step_never_old(context):
    old = [seen for seen in context.versions if seen[1] == 1 or seen[2]]
    assert not old, (old[0], old[-1])


@then('it has the manifest in force within {limit_s:g} s of its start')
def step_in_force(context, limit_s):
    found = [after_s for after_s, version, _ in context.versions if version]
    assert found and found[0] <= limit_s, found[:1]
    assert context.versions[-1][1] == context.expected_version


@when(
    'a follower restarts while the watchers of its region reach only their region, at any moment'
)
def step_restart_beside_confined(context):
    async def run_once(phase_s, restarts_after_s):
        async with started_fleet(context.sizes) as fleet:
            await asyncio.sleep(phase_s)
            watchers = fleet.confine_watchers(FIRST_REGION)
            await asyncio.sleep(0.01)
            changed_at = asyncio.get_running_loop().time()
            fleet.source.write('main', 2)
            name = next(
                host.member.host
                for host in fleet.live_hosts()
                if host.member.region == FIRST_REGION and host not in watchers
            )
            await asyncio.sleep(restarts_after_s)
            host = fleet.restart(name, discovers_after_s=0.02)
            old_until_s = 0
            while host.version() != 2 and old_until_s < OBSERVED_S:
                await asyncio.sleep(0.02)
                if host.version() == 1:
                    old_until_s = asyncio.get_running_loop().time() - changed_at
            return old_until_s

    context.old_until_s = {
        (phase_s, after_s): run_virtual(run_once(phase_s, after_s))
        for phase_s in (0, 0.2, 0.3, 0.4)
        for after_s in (0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.3, 1.6, 2.0)
    }


@then('it serves by the replaced manifest for at most {limit_s:g} s after the change')
def step_replaced_ends(context, limit_s):
    late = {key: s for key, s in context.old_until_s.items() if s > limit_s}
    assert not late, late
