"""Steps of feed_currency.feature."""

import asyncio
import random

from behave import given, then, when
from feed_region import FeedFleet
from virtual_time import run_virtual

# Delays from the fault to the change, in seconds: before, during and after its detection.
DELAYS_S = (0.0, 0.2, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0)
OBSERVED_S = 12
NEVER_S = 1e6
FIRST_REGION = 'region0'


@given('regions of {sizes} hosts that have the manifest')
def step_regions(context, sizes):
    context.sizes = {f'region{n}': int(size) for n, size in enumerate(sizes.split(','))}


def _run_with_fault(context, inject_fault):
    async def run_once(delay_s):
        fleet = FeedFleet(context.sizes)
        await fleet.start()
        inject_fault(fleet)
        await asyncio.sleep(delay_s)
        try:
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)
        finally:
            await fleet.stop()

    context.received_after_s = {delay_s: run_virtual(run_once(delay_s)) for delay_s in DELAYS_S}


@when('the store refuses {refused} of the first region and the manifest changes after any delay')
def step_refused(context, refused):
    def refuse(fleet):
        hosts = [host for host in fleet.live_hosts() if host.member.region == FIRST_REGION]
        match refused:
            case 'one watcher':
                hosts = fleet.watchers(FIRST_REGION)[:1]
            case 'both watchers':
                hosts = fleet.watchers(FIRST_REGION)
        for host in hosts:
            host.access.is_refused = True

    _run_with_fault(context, refuse)


@when('{failed} of the first region lose power and the manifest changes after any delay')
def step_power_loss(context, failed):
    def cut_power(fleet):
        watchers = fleet.watchers(FIRST_REGION)
        hosts = watchers[:1] if failed == 'one watcher' else watchers
        if failed.endswith('half of the others'):
            others = [
                host
                for host in fleet.live_hosts()
                if host.member.region == FIRST_REGION and host not in watchers
            ]
            hosts = [*watchers, *random.Random(1).sample(others, len(others) // 2)]
        for host in hosts:
            host.kill()

    _run_with_fault(context, cut_power)


@when('the watches of one watcher of the first region stop responding and the manifest changes')
def step_silent(context):
    def silence(fleet):
        fleet.watchers(FIRST_REGION)[0].access.is_silent = True

    _run_with_fault(context, silence)


@when(
    'hosts that follow others are isolated from all hosts and the manifest changes after any delay'
)
def step_cut_off(context):
    def isolate(fleet):
        followers = [host for host in fleet.live_hosts() if not host.is_watching()]
        fleet.cut_off.update(host.member.host for host in followers[:3])

    _run_with_fault(context, isolate)


@then('every host has it within {limit_s:g} s')
def step_in_time(context, limit_s):
    late = {
        delay_s: {host: s for host, s in received.items() if s is None or s > limit_s}
        for delay_s, received in context.received_after_s.items()
    }
    late = {delay_s: hosts for delay_s, hosts in late.items() if hosts}
    assert not late, late


@when('an object is removed while hosts that follow others are isolated for 0.3 s, 1 s or 1.4 s')
def step_removed_in_gap(context):
    _remove_in_gap(context, store_delay_s=0)


@when(
    'an object is removed while hosts are isolated, and the store takes {delay_s:g} s for each call'
)
def step_removed_slow(context, delay_s):
    _remove_in_gap(context, store_delay_s=delay_s)


def _remove_in_gap(context, *, store_delay_s):
    async def run_once(gap_s):
        fleet = FeedFleet(context.sizes)
        await fleet.start()
        for host in fleet.hosts.values():
            host.access.delay_s = store_delay_s
        try:
            fleet.source.write('i-1', 1)
            await asyncio.sleep(2)
            followers = [host for host in fleet.live_hosts() if not host.is_watching()]
            fleet.cut_off.update(host.member.host for host in followers[::5])
            await asyncio.sleep(gap_s / 2)
            fleet.source.remove('i-1')
            await asyncio.sleep(gap_s / 2)
            fleet.cut_off.clear()
            await asyncio.sleep(5)
            return [host.member.host for host in fleet.live_hosts() if host.has_object('i-1')]
        finally:
            await fleet.stop()

    context.hosts_with_object = {gap_s: run_virtual(run_once(gap_s)) for gap_s in (0.3, 1.0, 1.4)}


@when('the sources of a follower restart {interval_s:g} s apart')
def step_restart_sources(context, interval_s):
    async def run_once():
        fleet = FeedFleet(context.sizes)
        fleet.source.write('i-1', 1)
        await fleet.start()
        try:
            name, sources = fleet.follower_with_relays()
            restarted = {name, *sources}
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
            context.hosts_with_object = {
                len(restarted): [h.member.host for h in fleet.live_hosts() if h.has_object('i-1')]
            }
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)
        finally:
            await fleet.stop()

    context.received_after_s = {0: run_virtual(run_once())}


@then('no follower of the first region has listed the store')
def step_no_listers(context):
    assert not context.listers, context.listers


@then(
    'every host has the next change within {limit_s:g} s, and no object that was removed meanwhile'
)
def step_next_change(context, limit_s):
    step_in_time(context, limit_s)
    step_removed(context)


@when(
    'a source loses a removal just after the other source was cut off from the store and its peers'
)
def step_double_gap(context):
    async def run_once(lead_s, gap_s):
        fleet = FeedFleet(context.sizes)
        await fleet.start()
        # Written after the sources have listed the store, so that their listings do not remove it.
        fleet.source.write('i-1', 1)
        await asyncio.sleep(2)
        try:
            name, (losing, isolated, *_) = fleet.follower_with_relays()
            fleet.hosts[isolated].access.is_refused = True
            fleet.cut_links.update(
                frozenset((isolated, other)) for other in fleet.hosts if other != name
            )
            await asyncio.sleep(lead_s)
            link = frozenset((losing, name))
            fleet.cut_links.add(link)
            await asyncio.sleep(gap_s / 2)
            fleet.source.remove('i-1')
            await asyncio.sleep(gap_s / 2)
            fleet.cut_links.discard(link)
            await asyncio.sleep(5)
            return [name] if fleet.hosts[name].has_object('i-1') else []
        finally:
            await fleet.stop()

    context.hosts_with_object = {
        (lead_s, gap_s): run_virtual(run_once(lead_s, gap_s))
        for lead_s in (0, 0.3, 0.8)
        for gap_s in (0.3, 1.0, 1.4)
    }


@then('no host has it 5 s later')
def step_removed(context):
    assert not any(context.hosts_with_object.values()), context.hosts_with_object


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
        fleet = FeedFleet(context.sizes)
        fleet.source.write('i-1', 1)
        await fleet.start()
        try:
            name, sources = fleet.follower_with_relays()
            for source in sources:
                fleet.hosts[source].access.is_refused = True
                fleet.cut_links.update(
                    frozenset((source, other)) for other in fleet.hosts if other != name
                )
            await asyncio.sleep(0.5)
            fleet.source.write('main', 2)
            fleet.source.remove('i-1')
            await asyncio.sleep(3)
            return await _observe_restart(fleet, name, 4)
        finally:
            await fleet.stop()

    context.versions = run_virtual(run_once())
    context.expected_version = 2


@when('a follower restarts and finds the other hosts {found}')
def step_restart_discovery(context, found):
    async def run_once():
        fleet = FeedFleet(context.sizes)
        await fleet.start()
        try:
            name, _ = fleet.follower_with_relays()
            access = fleet.hosts[name].access
            access.listings = 0
            discovers_after_s = NEVER_S if found == 'never' else float(found.split()[1])
            versions = await _observe_restart(fleet, name, 2, discovers_after_s=discovers_after_s)
            return versions, access.listings
        finally:
            await fleet.stop()

    context.versions, context.listings = run_virtual(run_once())
    context.expected_version = 1


@then('it has {listed} the store')
def step_listed(context, listed):
    assert bool(context.listings) == (listed == 'listed'), context.listings


@when('the store refuses all hosts and a follower restarts')
def step_restart_outage(context):
    async def run_once():
        fleet = FeedFleet(context.sizes)
        await fleet.start()
        try:
            name, _ = fleet.follower_with_relays()
            for host in fleet.hosts.values():
                host.access.is_refused = True
            await asyncio.sleep(3)
            return await _observe_restart(fleet, name, 6)
        finally:
            await fleet.stop()

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


@when('the store refuses all hosts for {outage_s:d} s and then answers again')
def step_outage(context, outage_s):
    async def run_once():
        fleet = FeedFleet(context.sizes)
        await fleet.start()
        accesses = {name: host.access for name, host in fleet.hosts.items()}
        try:
            for access in accesses.values():
                access.is_refused = True
                access.calls = 0
            fleet.listings_sent = 0
            await asyncio.sleep(outage_s)
            context.calls = {name: access.calls for name, access in accesses.items()}
            context.listings_sent = fleet.listings_sent
            for access in accesses.values():
                access.is_refused = False
                access.listings = 0
            await asyncio.sleep(5)
            context.listers = [name for name, access in accesses.items() if access.listings]
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)
        finally:
            await fleet.stop()

    context.received_after_s = {0: run_virtual(run_once())}


@then('each host called it at most {limit:d} times in that time, and no host sent a listing')
def step_few_calls(context, limit):
    # The assigned watchers check at a constant interval.
    counts = sorted(context.calls.values(), reverse=True)
    assert counts[2 * len(context.sizes)] <= limit, counts
    assert not context.listings_sent, context.listings_sent


@then(
    'at most {count:d} hosts of a region list the store after it,'
    ' and all have the next change within {limit_s:g} s'
)
def step_few_listings(context, count, limit_s):
    for region in context.sizes:
        listers = [name for name in context.listers if name.startswith(f'{region}-')]
        assert len(listers) <= count, context.listers
    step_in_time(context, limit_s)
