"""Steps of claims.feature."""

import asyncio
from types import SimpleNamespace

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_time import run_virtual

from balsamrail.errors import KeyClaimError
from balsamrail.forwarding.claim_partition import ClaimPartition
from balsamrail.forwarding.claim_registry import ClaimRegistry
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
