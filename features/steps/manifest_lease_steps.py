"""Steps of manifest_lease.feature on regular operation, random faults and returns of the store."""

import asyncio
import random
from collections import Counter

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st
from lease_fleet import REVOKE_S, every_step, started_lease_fleet
from virtual_time import run_virtual

# Each run takes some tenths of a second.
EXAMPLES = 40
FAULTS = ('cut store', 'cut all', 'freeze', 'kill', 'restart', 'suspend', 'store down')


def sizes_of(text):
    return {f'region{n}': int(size) for n, size in enumerate(text.split(','))}


@given('a fleet of {sizes} hosts that keep the manifest confirmed')
def step_fleet(context, sizes):
    context.sizes = sizes_of(sizes)
    context.revoke_s = REVOKE_S


@given('a fleet of {sizes} hosts without a bound on withdrawals')
def step_fleet_without(context, sizes):
    context.sizes = sizes_of(sizes)
    context.revoke_s = None


@given('a fleet of {sizes} hosts with a bound on withdrawals of 0 s')
def step_fleet_zero(context, sizes):
    context.sizes = sizes_of(sizes)
    context.revoke_s = 0


@then('each host refuses keys, and none has read more than {limit:d} times a second')
def step_zero(context, limit):
    assert len(context.refused) == len(context.reads), context.refused
    assert max(context.reads.values()) <= limit * 20, context.reads


@given('fleets of {sizes} hosts with random delays and faults')
def step_random_fleets(context, sizes):
    context.sizes = sizes_of(sizes)


@when('it runs for {seconds:d} s without faults')
def step_run(context, seconds):
    async def run_once():
        async with started_lease_fleet(context.sizes, revoke_s=context.revoke_s) as fleet:
            reads = {name: host.reads() for name, host in fleet.hosts.items()}
            fleet.sent.clear()
            context.oldest, context.refused = await fleet.watch_ages(seconds)
            context.reads = {
                name: host.reads() - reads[name] for name, host in fleet.hosts.items()
            }
            context.all_reads = sum(host.reads() for host in fleet.hosts.values())
            context.questions = [
                host.environment.metrics.counter('manifest_questions')
                for host in fleet.hosts.values()
            ]
            sent = Counter(sender for sender, *_ in fleet.sent)
            received = Counter(receiver for _, receiver, *_ in fleet.sent)
            context.messages_per_s = [
                count / seconds for count in (*sent.values(), *received.values())
            ]

    run_virtual(run_once())


@then('no host refuses keys, and the oldest evidence is at most {oldest_s:g} s old')
def step_never_old(context, oldest_s):
    assert not context.refused, context.refused
    assert context.oldest <= oldest_s, context.oldest


@then('no host refuses keys')
def step_no_refusal(context):
    assert not context.refused, context.refused


@then('the hosts of each region make at most {limit:d} reads, all by one host')
def step_reads(context, limit):
    for region in context.sizes:
        reads = [n for name, n in context.reads.items() if name.startswith(f'{region}-') and n]
        assert len(reads) == 1 and reads[0] <= limit, context.reads


@then('no host gets or sends more than {limit:d} questions and answers a second')
def step_messages(context, limit):
    assert max(context.messages_per_s) <= limit, max(context.messages_per_s)


@then('no host has read or asked')
def step_off(context):
    assert not context.all_reads and not any(context.questions)
    assert not context.messages_per_s, context.messages_per_s


async def _inject(fleet, fault, name, *, at_s, for_s):
    await asyncio.sleep(at_s)
    host = fleet.hosts[name]
    if host.died_at is not None:
        return
    match fault:
        case 'cut store':
            host.access.is_cut = True
            await asyncio.sleep(for_s)
            host.access.is_cut = False
        case 'cut all':
            fleet.cut_off_completely(host)
            await asyncio.sleep(for_s)
            host.access.is_cut = False
            fleet.cut_off.discard(name)
        case 'freeze':
            host.freeze()
            await asyncio.sleep(for_s)
            fleet.woken_accepting.append((asyncio.get_running_loop().time(), host.thaw()))
        case 'kill':
            host.kill()
        case 'restart':
            host.gate.open.set()
            fleet.restart(name)
        case 'suspend':
            host.suspended_s += for_s
        case 'store down':
            fleet.source.is_up = False
            await asyncio.sleep(for_s)
            fleet.source.is_up = True


async def _withdraw(fleet, seed):
    """Play random faults; return who accepted the key too late, and when."""
    chance = random.Random(seed)
    fleet.woken_accepting = []
    fleet.max_delay_s = chance.choice([0, 0.2, 1, 3])
    fleet.max_call_delay_s = chance.choice([0, 0.1, 0.7])
    faults = [
        asyncio.create_task(
            _inject(
                fleet,
                chance.choice(FAULTS),
                chance.choice(sorted(fleet.hosts)),
                at_s=chance.uniform(0, 8),
                for_s=chance.uniform(0.2, 9),
            )
        )
        for _ in range(chance.randint(0, 5))
    ]
    await asyncio.sleep(chance.uniform(0, 6))
    fleet.source.write('main', 2)
    withdrawn_at = asyncio.get_running_loop().time()
    late = await _late_acceptances(fleet, until_s=REVOKE_S + 10)
    await asyncio.gather(*faults)
    woken = [at for at, is_accepting in fleet.woken_accepting if is_accepting]
    return [*late, *(at for at in woken if at > withdrawn_at + REVOKE_S)]


async def _late_acceptances(fleet, *, until_s):
    late = []
    async for elapsed_s in every_step(until_s):
        if elapsed_s > REVOKE_S:
            late.extend((name, elapsed_s) for name, host in fleet.hosts.items() if host.accepts())
    return late


@when('a key is withdrawn at a random moment')
def step_withdrawn(context):
    async def run_once(seed):
        async with started_lease_fleet(context.sizes, seed=seed) as fleet:
            return await _withdraw(fleet, seed)

    context.run_once = run_once


async def _lose_withdrawal(fleet, seed):
    chance = random.Random(seed)
    fleet.max_call_delay_s = chance.choice([0, 0.1])
    await asyncio.sleep(chance.uniform(0, 2))
    contents = fleet.source.copy_contents()
    fleet.source.write('main', 2)
    watching = asyncio.create_task(_late_acceptances(fleet, until_s=REVOKE_S + 14))
    if chance.random() < 0.2:
        # Otherwise the store fails before any host has seen the withdrawal.
        await asyncio.sleep(0.03)
    fleet.source.is_up = False
    await asyncio.sleep(chance.choice([0, 0.5, 3, 5, 8]))
    fleet.source.restore(contents)
    fleet.source.is_up = True
    await asyncio.sleep(chance.uniform(0.5, 2))
    fleet.source.write('main', 2)
    return await watching


@when('a key is withdrawn just before the store comes back from an older copy')
def step_lost(context):
    async def run_once(seed):
        async with started_lease_fleet(context.sizes, seed=seed) as fleet:
            return await _lose_withdrawal(fleet, seed)

    context.run_once = run_once


@then('no host accepts it later than 5 s after that')
def step_never_late(context):
    @settings(max_examples=EXAMPLES)
    @for_all(st.integers(0, 2**32))
    def check(seed):
        late = run_virtual(context.run_once(seed))
        assert not late, (seed, late[:5])

    check()


def play(context, script):
    """Run a script on a started fleet, which notes who refuses."""

    async def run_once():
        async with started_lease_fleet(context.sizes) as fleet:
            await script(fleet)

    run_virtual(run_once())


@when('the store comes back from an older copy and the fleet runs for {seconds:d} s')
def step_return(context, seconds):
    async def script(fleet):
        contents = fleet.source.copy_contents()
        fleet.source.write('other', 1)
        await asyncio.sleep(0.5)
        fleet.source.restore(contents)
        _, context.refused = await fleet.watch_ages(seconds)

    play(context, script)


@when('{lost} of the first region die and the fleet runs for {seconds:d} s')
def step_watchers_die(context, lost, seconds):
    async def script(fleet):
        watchers = fleet.watchers('region0')
        for host in watchers[:1] if lost == 'one watcher' else watchers:
            host.kill()
        _, context.refused = await fleet.watch_ages(seconds)

    play(context, script)


@when('the store refuses both watchers of the first region and the fleet runs for {seconds:d} s')
def step_refused(context, seconds):
    async def script(fleet):
        for host in fleet.watchers('region0'):
            host.access.is_refused = True
        _, context.refused = await fleet.watch_ages(seconds)

    play(context, script)


@when('the store discards its history twice a second for {seconds:d} s')
def step_forget(context, seconds):
    async def forget(fleet):
        while True:
            # Changes of other kinds make the revision of each host outdated.
            fleet.source.revision += 1
            fleet.source.forget()
            await asyncio.sleep(0.5)

    async def script(fleet):
        forgetting = asyncio.create_task(forget(fleet))
        _, context.refused = await fleet.watch_ages(seconds)
        forgetting.cancel()

    play(context, script)


@when('each answer of the store takes {delay_s:g} s for {seconds:d} s')
def step_slow(context, delay_s, seconds):
    async def script(fleet):
        reads = sum(host.reads() for host in fleet.hosts.values())
        for host in fleet.hosts.values():
            host.access.answer_delay_s = delay_s
        _, context.refused = await fleet.watch_ages(seconds)
        context.slow_reads = sum(host.reads() for host in fleet.hosts.values()) - reads

    play(context, script)


@then('the hosts have made at most {limit:d} reads in that time')
def step_slow_reads(context, limit):
    assert context.slow_reads <= limit, context.slow_reads


@when('all hosts lose each other and the fleet runs for {seconds:d} s')
def step_alone(context, seconds):
    async def script(fleet):
        fleet.cut_off.update(fleet.hosts)
        _, context.refused = await fleet.watch_ages(seconds)

    play(context, script)
