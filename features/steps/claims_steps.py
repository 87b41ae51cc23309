"""Steps of claims.feature."""

import asyncio
from types import SimpleNamespace

from behave import given as given_step
from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_time import run_virtual

from balsamrail.errors import KeyClaimError
from balsamrail.forwarding.claim_partition import ClaimPartition
from balsamrail.forwarding.claim_registry import ClaimRegistry, _partition_number
from balsamrail.metrics import Metrics
from standins.memory_store import MemoryStore

HOSTS = ['a', 'b', 'c', 'd']
WRITE_OUTCOMES = ['ok', 'ok', 'refused', 'dropped', 'lost', 'late']


class DirectNetwork:
    """Delivers messages directly to the registry of the named host."""

    def __init__(self, host, network_by_host):
        self.host = host
        self.network_by_host = network_by_host
        self.receive_by_kind = {}
        network_by_host[host] = self

    async def send(self, host, message):
        await asyncio.sleep(0.001)
        self.network_by_host[host].receive_by_kind[type(message)](self.host, message)
        return True

    def subscribe(self, kind, receive):
        self.receive_by_kind[kind] = receive


def make_environment(host):
    loop = asyncio.get_running_loop()
    clock = SimpleNamespace(wall=lambda: 1_000_000 + loop.time(), monotonic=loop.time)
    return SimpleNamespace(
        settings=SimpleNamespace(host=host),
        holder=f'{host}@1',
        clock=clock,
        metrics=Metrics(),
    )


def make_registries(store, views):
    network_by_host = {}
    return {
        host: ClaimRegistry(
            environment=make_environment(host),
            store=store,
            network=DirectNetwork(host, network_by_host),
            members=SimpleNamespace(
                alive=lambda view=view: [SimpleNamespace(host=name) for name in view]
            ),
        )
        for host, view in views.items()
    }


async def claim_concurrently(views, plan, outcomes):
    store = MemoryStore(script=[(0.005, outcome) for outcome in outcomes], delay_s=0.005)
    registry_by_host = make_registries(store, views)

    async def claim(host, number, delay_ms):
        await asyncio.sleep(delay_ms / 1000)
        try:
            return number, await registry_by_host[host].claim(f'key-{number}', expiry_wall_s=2e6)
        except KeyClaimError:
            return number, None

    answers = await asyncio.gather(*(claim(*step) for step in plan))
    await store.settle()
    return _holders_by_number(answers)


def _holders_by_number(answers):
    """Return the holders that the answers told for each key."""
    holders_by_number = {}
    for number, holder in answers:
        if holder:
            holders_by_number.setdefault(number, set()).add(holder)
    return holders_by_number


@when('4 hosts with different member lists claim the same keys under random store failures')
def step_race(context):
    context.checked = 0

    @settings(max_examples=150)
    @given(
        views=st.fixed_dictionaries(
            {host: st.lists(st.sampled_from(HOSTS), min_size=1, unique=True) for host in HOSTS}
        ),
        plan=st.lists(
            st.tuples(st.sampled_from(HOSTS), st.integers(0, 3), st.integers(0, 60)),
            min_size=2,
            max_size=24,
        ),
        outcomes=st.lists(st.sampled_from(WRITE_OUTCOMES), max_size=40),
    )
    def check(views, plan, outcomes):
        for holders in run_virtual(claim_concurrently(views, plan, outcomes)).values():
            assert len(holders) == 1, holders
            context.checked += 1

    check()


@then('every key has one holder on all hosts')
def step_one_holder(context):
    assert context.checked > 100, context.checked


@when('200 keys of one partition are claimed at once through its owner')
def step_many(context):
    async def claim_all():
        store = MemoryStore(delay_s=0.005)
        part = ClaimPartition(environment=make_environment('a'), store=store, number=1)
        keys = [f'key-{number}' for number in range(200)]
        claims = (part.claim(key, holder='a@1', expiry_wall_s=2e6) for key in keys)
        await asyncio.gather(*claims)
        return store.calls['write']

    context.writes = run_virtual(claim_all())


@then('the store received at most {most:d} writes')
def step_writes(context, most):
    assert context.writes <= most, context.writes


@when('a key is claimed while the store is down')
def step_down(context):
    async def claim_one():
        store = MemoryStore(delay_s=0.005)
        store.down = True
        registry = make_registries(store, {'a': ['a']})['a']
        loop = asyncio.get_running_loop()
        start = loop.time()
        try:
            await registry.claim('order-1', expiry_wall_s=2e6)
        except KeyClaimError as error:
            return error, loop.time() - start
        return None, 0

    context.error, context.duration_s = run_virtual(claim_one())


@then('the claim fails with code "{code}" within {most_s:d} second')
def step_fails(context, code, most_s):
    assert context.error is not None
    assert context.error.code == code
    assert context.duration_s <= most_s, context.duration_s


async def claim_across_restores(views, plan, outcomes, events):
    store = MemoryStore(delay_s=0.005)
    registry_by_host = make_registries(store, views)
    copies = []

    async def claim(host, number, delay_ms):
        await asyncio.sleep(delay_ms / 1000)
        try:
            return number, await registry_by_host[host].claim(f'key-{number}', expiry_wall_s=1.1e6)
        except KeyClaimError:
            return number, None

    async def disturb(event, delay_ms):
        await asyncio.sleep(delay_ms / 1000)
        match event:
            case 'copy':
                copies.append(store.copy())
            case 'restore':
                store.restore(copies[-1], wall_s=1e6 + asyncio.get_running_loop().time())
            case host:
                registry_by_host[host] = make_registries(store, views)[host]

    # The first copy holds the partitions, since a copy without them looks like a new store.
    await asyncio.gather(*(claim('a', number, 0) for number in range(100, 150)))
    copies.append(store.copy())
    store.script = [(0.005, outcome) for outcome in outcomes]
    disturbances = [asyncio.create_task(disturb(*event)) for event in events]
    answers = await asyncio.gather(*(claim(*step) for step in plan))
    await asyncio.gather(*disturbances)
    await store.settle()
    return _holders_by_number(answers)


@when('4 hosts claim keys while the store comes back from copies and hosts restart')
def step_restored_race(context):
    context.checked = 0
    views = {host: HOSTS for host in HOSTS}

    @settings(max_examples=300)
    @given(
        plan=st.lists(
            st.tuples(st.sampled_from(HOSTS), st.integers(0, 3), st.integers(0, 1500)),
            min_size=2,
            max_size=24,
        ),
        outcomes=st.lists(st.sampled_from(WRITE_OUTCOMES), max_size=20),
        events=st.lists(
            st.tuples(
                st.sampled_from(['copy', 'restore', 'restore', *HOSTS]), st.integers(0, 1600)
            ),
            max_size=12,
        ),
    )
    def check(plan, outcomes, events):
        for holders in run_virtual(claim_across_restores(views, plan, outcomes, events)).values():
            assert len(holders) == 1, holders
            context.checked += 1

    check()


KEY_LIFETIME_S = 600


async def claim_lost_key(owner):
    store = MemoryStore(delay_s=0.005)
    registry_by_host = make_registries(store, {host: ['a'] for host in 'abc'})
    now = make_environment('a').clock.wall

    async def claim(host, key):
        try:
            return await registry_by_host[host].claim(key, expiry_wall_s=now() + KEY_LIFETIME_S)
        except KeyClaimError as error:
            return f'code "{error.code}"'

    assert await claim('a', 'order-0') == 'a@1'
    number = next(number for number in range(1, 99) if partition_of(number) == partition_of(0))
    lost, unsent = f'order-{number}', 'order-0'
    copy = store.copy()
    assert await claim('b', lost) == 'b@1'
    store.restore(copy, wall_s=now())
    if owner == 'restarted':
        registry_by_host = make_registries(store, {host: ['a'] for host in 'abc'})
    answers = [await claim('c', lost), await claim('c', lost)]
    await asyncio.sleep(KEY_LIFETIME_S + 1)
    return answers, await claim('c', unsent)


def partition_of(number):
    return _partition_number(f'order-{number}')


@given_step('a key whose claim the store acknowledged and lost, with an owner that {owner}')
def step_lost_claim(context, owner):
    context.answers, context.later = run_virtual(claim_lost_key(owner))


@then('a resend to another host gets {answer}')
def step_lost_answer(context, answer):
    expected = answer.replace('the first holder', 'b@1')
    assert context.answers == [expected, expected], context.answers


@then('a key that was never sent is claimed when the lifetime of claims has passed')
def step_later_claim(context):
    assert context.later == 'c@1', context.later
