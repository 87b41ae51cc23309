"""Steps of feed_currency.feature."""

import asyncio
import random
import re

from behave import given, then, when
from feed_region import assert_in_time, started_fleet
from virtual_time import run_virtual

# Delays from the fault to the change, in seconds: before, during and after its detection.
DELAYS_S = (0.0, 0.2, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0)
# Lengths of a network failure in seconds, which end before and after the next status of a source.
SLOW_STORE_GAPS_S = (0.3, 0.7, 0.8, 0.9, 1.0, 1.1, 1.2, 1.3, 1.4)
# Moments of the fault between two checks of the store.
PHASES_S = (0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.7, 0.9)
OBSERVED_S = 12
FIRST_REGION = 'region0'


@given('regions of {sizes} hosts that have the manifest')
def step_regions(context, sizes):
    context.sizes = {f'region{n}': int(size) for n, size in enumerate(sizes.split(','))}


def _run_with_fault(context, inject_fault):
    async def run_once(delay_s):
        async with started_fleet(context.sizes) as fleet:
            inject_fault(fleet)
            await asyncio.sleep(delay_s)
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)

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


@when(
    '{cut} of the first region lose the path to the store and the manifest changes at any moment'
)
def step_path_lost(context, cut):
    def lose_path(fleet):
        hosts = [host for host in fleet.live_hosts() if host.member.region == FIRST_REGION]
        if cut.startswith('both watchers'):
            hosts = fleet.watchers(FIRST_REGION)
        if cut.endswith('one of each other'):
            hosts.extend(fleet.watchers(region)[0] for region in sorted(fleet.sizes)[1:])
        for host in hosts:
            host.access.is_cut = True

    _run_with_fault(context, lose_path)


@when(
    'all watchers lose the path to the store at any moment and the manifest changes, '
    'bound {bound_s:d} s'
)
def step_all_paths_lost(context, bound_s):
    async def run_once(phase_s):
        async with started_fleet(context.sizes, config_apply_s=bound_s) as fleet:
            await asyncio.sleep(phase_s)
            watchers = [host for host in fleet.live_hosts() if host.is_watching()]
            for host in watchers:
                host.access.is_cut = True
            received = await fleet.propagation_s(2, limit_s=OBSERVED_S)
            return {name: s for name, s in received.items() if fleet.hosts[name] not in watchers}

    context.received_after_s = {phase_s: run_virtual(run_once(phase_s)) for phase_s in PHASES_S}


@when(
    'both watchers of the first region reach only their region '
    'and the manifest changes at any moment'
)
def step_only_followers(context):
    async def run_once(delay_s):
        async with started_fleet(context.sizes) as fleet:
            watchers = fleet.confine_watchers(FIRST_REGION)
            await asyncio.sleep(delay_s)
            received = await fleet.propagation_s(2, limit_s=OBSERVED_S)
            return {name: s for name, s in received.items() if fleet.hosts[name] not in watchers}

    context.received_after_s = {delay_s: run_virtual(run_once(delay_s)) for delay_s in DELAYS_S}


@when('the watches of all watchers stop responding and the manifest changes at any moment')
def step_all_silent(context):
    async def run_once(phase_s):
        async with started_fleet(context.sizes) as fleet:
            await asyncio.sleep(phase_s)
            for host in fleet.live_hosts():
                host.access.is_silent = host.is_watching()
            return await fleet.propagation_s(2, limit_s=OBSERVED_S)

    context.received_after_s = {phase_s: run_virtual(run_once(phase_s)) for phase_s in PHASES_S}


@when(
    'all hosts lose the path to the store for 0.2 s, 0.3 s or 0.4 s '
    'and the manifest changes meanwhile'
)
def step_short_failure(context):
    async def run_once(phase_s, length_s):
        async with started_fleet(context.sizes) as fleet:
            await asyncio.sleep(phase_s)
            for host in fleet.live_hosts():
                host.access.is_cut = True
            await asyncio.sleep(length_s / 2)
            received = asyncio.create_task(fleet.propagation_s(2, limit_s=OBSERVED_S))
            await asyncio.sleep(length_s / 2)
            for host in fleet.live_hosts():
                host.access.is_cut = False
            return await received

    context.received_after_s = {
        (phase_s, length_s): run_virtual(run_once(phase_s, length_s))
        for phase_s in PHASES_S
        for length_s in (0.2, 0.3, 0.4)
    }


@then('every host with a path to the store has it within {limit_s:g} s')
def step_in_time_with_path(context, limit_s):
    for received in context.received_after_s.values():
        assert_in_time(received, limit_s)


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


@when('the watches of {silent} of the first region stop responding and the manifest changes')
def step_silent(context, silent):
    def silence(fleet):
        watchers = fleet.watchers(FIRST_REGION)
        for host in watchers[:1] if silent == 'one watcher' else watchers:
            host.access.is_silent = True

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
    for received in context.received_after_s.values():
        assert_in_time(received, limit_s)


@then('every host has it within {limit_s:g} s, before a check can be overdue')
def step_in_time_unnoticed(context, limit_s):
    step_in_time(context, limit_s)


@when('an object is removed while hosts that follow others are isolated for 0.3 s, 1 s or 1.4 s')
def step_removed_in_gap(context):
    _remove_in_gap(context, gaps_s=(0.3, 1.0, 1.4), store_delay_s=0)


@when(
    'an object is removed while hosts are isolated, and the store takes {delay_s:g} s for each call'
)
def step_removed_slow(context, delay_s):
    _remove_in_gap(context, gaps_s=SLOW_STORE_GAPS_S, store_delay_s=delay_s)


def _remove_in_gap(context, *, gaps_s, store_delay_s):
    async def run_once(gap_s):
        async with started_fleet(context.sizes) as fleet:
            for host in fleet.hosts.values():
                host.access.delay_s = store_delay_s
            fleet.source.write('i-1', 1)
            await asyncio.sleep(2)
            followers = [host for host in fleet.live_hosts() if not host.is_watching()]
            fleet.cut_off.update(host.member.host for host in followers[::5])
            await asyncio.sleep(gap_s / 2)
            fleet.source.remove('i-1')
            await asyncio.sleep(gap_s / 2)
            fleet.cut_off.clear()
            await asyncio.sleep(5)
            return fleet.hosts_with('i-1')

    context.hosts_with_object = {gap_s: run_virtual(run_once(gap_s)) for gap_s in gaps_s}


@then('no host has it 5 s later')
def step_removed(context):
    assert not any(context.hosts_with_object.values()), context.hosts_with_object


@when('the store refuses all hosts for {outage_s:d} s and then answers again')
def step_outage(context, outage_s):
    async def run_once():
        async with started_fleet(context.sizes) as fleet:
            accesses = {name: host.access for name, host in fleet.hosts.items()}
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


@when('a host that follows others is isolated for {isolated_s:d} s from all hosts and the store')
def step_isolated(context, isolated_s):
    async def run_once():
        async with started_fleet(context.sizes) as fleet:
            host = next(host for host in fleet.live_hosts() if not host.is_watching())
            host.log.lines.clear()
            host.access.is_cut = True
            fleet.cut_off.add(host.member.host)
            await asyncio.sleep(isolated_s)
            host.access.is_cut = False
            fleet.cut_off.clear()
            await asyncio.sleep(OBSERVED_S)
            return ''.join(host.log.lines)

    context.logged = run_virtual(run_once())


@then(
    'its log has one interruption of its changes, and their return {low_s:d} s to {high_s:d} s later'
)
def step_interruption_logged(context, low_s, high_s):
    events = re.findall(r'event=changes_(\w+).* after_s=(\S+)', context.logged)
    assert [name for name, _ in events] == ['interrupted', 'received'], events
    assert low_s <= float(events[-1][1]) <= high_s, events


@when('{count:d} changes of another kind are made within {played_s:d} s')
def step_other_kind(context, count, played_s):
    async def play(changes):
        async with started_fleet(context.sizes) as fleet:
            accesses = [host.access for host in fleet.hosts.values()]
            for access in accesses:
                access.calls = 0
                access.listings = 0
            for _ in range(count):
                fleet.source.revision += changes
                await asyncio.sleep(played_s / count)
            return [access.calls for access in accesses], sum(a.listings for a in accesses)

    context.change_count = count
    context.calls_without, _ = run_virtual(play(0))
    context.calls_with, context.listing_count = run_virtual(play(1))


@then(
    'no host listed the store, and those that watch it made at most {limit:d} calls more'
    ' for each change'
)
def step_other_kind_cost(context, limit):
    assert not context.listing_count
    allowed = limit * context.change_count
    for before, after in zip(context.calls_without, context.calls_with, strict=True):
        assert after - before <= (allowed if before else 0), (before, after)
