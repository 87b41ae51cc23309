"""Steps of steering.feature."""

import asyncio
import json
from random import Random

from behave import given, then, when
from fleet_model import FleetModel
from hypothesis import given as for_all
from hypothesis import strategies as st
from steering_fakes import (
    REGIONS,
    FakeMembers,
    FakeNetwork,
    Fleet,
    Hub,
    declaration_of,
    environment_of,
)
from virtual_time import run_virtual

from balsamrail.configuration import load_declaration
from balsamrail.errors import OverloadedError
from balsamrail.steering import AttemptResult
from balsamrail.steering.cost_vector import cost_vector
from balsamrail.steering.outlier_ejector import OutlierEjector
from balsamrail.steering.target_picker import TargetPicker
from balsamrail.steering.target_prober import TargetProber
from balsamrail.steering.target_state import TargetState


@given('nine hosts with three regions of 16 slots')
def step_nine(context):
    context.declaration = declaration_of()


@given('nine hosts with a failover cap of {fraction:g} in {per_s:g} seconds')
def step_capped(context, fraction, per_s):
    context.declaration = declaration_of(failover_cap={'fraction': fraction, 'per_s': per_s})


@when('demand at the hosts of one region rises tenfold')
def step_demand(context):
    async def main():
        model = FleetModel(context.declaration)
        await model.start()
        await model.load(dict.fromkeys(model.routers, 4), duration_s=10)
        rates = {
            host: 40 if region == 'attiki' else 4 for host, region in model.region_by_host.items()
        }
        await model.load(rates, duration_s=15)
        await model.stop()
        context.model = model

    run_virtual(main())


@then('no region or target ever has more requests than slots')
def step_within(context):
    for place, highest in context.model.highest.items():
        assert highest <= (14 if place in REGIONS else 4), context.model.highest


@then("hosts use at least 85% of the region's share")
def step_used(context):
    assert context.model.highest['attiki'] >= 0.85 * 14.4, context.model.highest


@when('all targets of attiki fail while the store is down')
def step_lost(context):
    async def main():
        model = FleetModel(context.declaration)
        await model.start()
        rates = {host: 10 for host, place in model.region_by_host.items() if place == 'attiki'}
        await model.load(rates, duration_s=10)
        model.store.down = True
        context.lost_at = asyncio.get_running_loop().time()
        model.failing = {f'10.0.0.{number}:80' for number in range(1, 5)}
        await model.load(rates, duration_s=10)
        await model.stop()
        context.model = model

    run_virtual(main())


@when('the platform lists all targets of attiki as leaving')
def step_listed(context):
    async def main():
        model = FleetModel(context.declaration)
        await model.start()
        rates = {host: 10 for host, place in model.region_by_host.items() if place == 'attiki'}
        await model.load(rates, duration_s=10)
        context.lost_at = asyncio.get_running_loop().time()
        model.fleet.leaving_addresses = {f'10.0.0.{number}:80' for number in range(1, 5)}
        await model.load(rates, duration_s=10)
        await model.stop()
        context.model = model

    run_virtual(main())


@then('requests at its hosts are served elsewhere within {limit_s:g} seconds')
def step_elsewhere(context, limit_s):
    late = [e for e in context.model.admitted_at if e[0] > context.lost_at + limit_s]
    served = [entry for entry in late if entry[3] != 'attiki']
    # 30 requests a second arrive in the last 7 s.
    assert len(served) > 0.9 * 210, (len(served), len(late))
    assert len(late) - len(served) < 0.05 * 210, (len(served), len(late))


@then('at most {fraction:g} of the requests of its hosts went elsewhere in 10 seconds')
def step_spilled(context, fraction):
    after = [entry for entry in context.model.admitted_at if entry[0] > context.lost_at]
    elsewhere = sum(entry[3] != 'attiki' for entry in after)
    assert 0 < elsewhere <= fraction * 30 * 20, elsewhere


@when("a target's health says leaving while requests arrive everywhere")
def step_leaving(context):
    async def main():
        model = FleetModel(context.declaration)
        await model.start()
        rates = dict.fromkeys(model.routers, 10)
        await model.load(rates, duration_s=3)
        context.left_at = asyncio.get_running_loop().time()
        model.health['10.0.0.1:80'] = 'leaving'
        await model.load(rates, duration_s=12)
        await model.stop()
        context.model = model

    run_virtual(main())


@then('no host sends it a request after {limit_s:g} seconds')
def step_left(context, limit_s):
    times = [entry[0] for entry in context.model.admitted_at if entry[2] == '10.0.0.1:80']
    assert times and max(times) <= context.left_at + limit_s, (max(times), context.left_at)


@then('for any results of attempts at most half of the targets are ejected')
def step_half(context):
    outcome = st.sampled_from(list(AttemptResult))
    event = st.tuples(st.integers(0, 6), outcome, st.floats(0, 8))

    @for_all(st.lists(event, max_size=200), st.integers(1, 7))
    def check(events, targets):
        now = 0.0
        ejector = OutlierEjector()
        for place, result, pause_s in events:
            now += pause_s
            ejector.observe(f't{place % targets}', result, now=now, targets=targets)
            assert ejector.ejected_count(now=now) <= targets / 2
        left = {f't{place}' for place in range(max(1, targets - 2))}
        ejector.retain(left, now=now)
        assert ejector.ejected_count(now=now) <= len(left) / 2

    check()


@then('after five failures a target gets nothing for 5 seconds and then 10')
def step_doubling(context):
    ejector = OutlierEjector()

    def fail(now):
        return ejector.observe('t', AttemptResult.failed, now=now, targets=4)

    assert [fail(0) for _ in range(5)] == [False] * 4 + [True]
    assert ejector.ejected('t', now=4.9) and not ejector.ejected('t', now=5)
    assert fail(6)
    assert ejector.ejected('t', now=15.9) and not ejector.ejected('t', now=16)


@given('a host that ejected a target')
def step_ejected(context):
    declaration = declaration_of()
    context.picker = TargetPicker(random=Random(1), slow_start_s=0)
    targets = declaration.targets_in(service='diary', region='attiki')
    context.picker.update(targets, now=0, slow_start_s=0)
    state = context.picker.start(targets[0].address)
    assert context.picker.finish(state, AttemptResult.crashed, now=1000)
    context.state = state


async def reported(state, stages):
    """Let a target's health report each stage, and return whether it then counts as leaving."""
    fleet, hub = Fleet(), Hub(delay_s=0)
    environment = environment_of('a1', region='attiki')
    fleet.add(environment)
    answers = iter([{'state': stage, 'in_flight': 0, 'slots': 4} for stage in stages])

    async def fetch(address):
        return next(answers)

    prober = TargetProber(
        environment=environment,
        members=FakeMembers(fleet, 'a1'),
        network=FakeNetwork(hub, 'a1'),
        states=lambda region: [('diary', state)],
        fetch=fetch,
    )
    leaving = []
    for _ in stages:
        await prober.probe('diary', state)
        leaving.append(state.leaving)
    return leaving


@when('its health says live three times')
def step_says_live(context):
    run_virtual(reported(context.state, ['live'] * 3))


@then('a target that said leaving takes work again after the second live report in a row')
def step_live_again(context):
    state = TargetState(address='10.0.0.1:80', slots=4, connections=10, since=0)
    stages = ['leaving', 'live', 'leaving', 'live', 'live']
    assert run_virtual(reported(state, stages)) == [True, True, True, True, False]


@then('a new target of 4 slots takes 1, 2 and 4 requests after 1, 15 and 30 seconds')
def step_slow_start(context):
    targets = declaration_of().targets_in(service='diary', region='attiki')
    address, taken = targets[-1].address, []
    for age_s in (1, 15, 30):
        picker = TargetPicker(random=Random(1), slow_start_s=30)
        picker.update(targets[:1], now=0, slow_start_s=30)
        picker.update(targets, now=100, slow_start_s=30)
        while picker.takes_work(address, now=100 + age_s):
            picker.start(address)
        taken.append(picker.state_by_address[address].in_flight)
    assert taken == [1, 2, 4], taken


@then('the target still takes no work')
def step_no_work(context):
    assert not context.picker.takes_work(context.state.address, now=1004)
    assert context.picker.takes_work(context.state.address, now=1006)


@given('three regions of 16 slots and a service of priority {priority:d}')
def step_low(context, priority):
    context.declaration = declaration_of(priority=priority)


@when('demand at all hosts is far above the capacity')
def step_far_above(context):
    async def main():
        model = FleetModel(context.declaration)
        await model.start()
        await model.load(dict.fromkeys(model.routers, 60), duration_s=5)
        await model.stop()
        context.model = model

    run_virtual(main())


@then('of the 14.4 slots of a region it never uses more than {most:d}')
def step_priority(context, most):
    highest = context.model.highest
    assert all(4 < highest[region] <= most for region in REGIONS), highest


@then('a request with half a call to a service that makes two calls costs 1000, 500 and 1000')
def step_cost(context):
    target = [{'address': '10.0.0.1:80', 'availability_zone': 'a', 'slots': 4}]
    document = {
        'deployment': 'selokosmos',
        'regions': {'attiki': {'availability_zones': ['a']}},
        'services': {
            'diary': {'targets': target, 'depends_on': {'bookings': 0.5}},
            'bookings': {'targets': target, 'depends_on': {'shopfront': 2}},
            'shopfront': {'targets': target},
        },
    }
    cost = cost_vector(load_declaration(json.dumps(document)), service='diary', region='attiki')
    services = ('diary', 'bookings', 'shopfront')
    assert [cost[f'slots/{name}/attiki'] for name in services] == [1000, 500, 1000], cost


@given('nine hosts of which one or all send to one region')
def step_one_region(context):
    async def send(hosts):
        model = FleetModel(declaration_of(weights={'attiki': 1}))
        await model.start()
        used = 0

        async def admit(host):
            router = model.routers[host]
            started = asyncio.get_running_loop().time()
            try:
                await router.admit_soon(service='diary', declaration=model.declaration, route=None)
            except OverloadedError:
                return asyncio.get_running_loop().time() - started
            return None

        # One more request begins every half second and none ends.
        while await admit(hosts[used % len(hosts)]) is None:
            used += 1
            await asyncio.sleep(0.5)
        # Take what is left, so that the requests at once find nothing.
        for host in [*model.routers] * 2:
            await admit(host)
        await asyncio.sleep(3)
        waits = await asyncio.gather(*(admit('attiki-1') for _ in range(200)))
        await model.stop()
        return used, [wait for wait in waits if wait is not None]

    context.results = [
        run_virtual(send(['attiki-0'])),
        run_virtual(send([f'{region}-{number}' for region in REGIONS for number in range(3)])),
    ]


@then('90% of its share is in use before the first request is shed')
def step_in_use(context):
    assert all(used >= 0.9 * 14.4 for used, _ in context.results), context.results


@then(
    'of 200 requests at once that find no share all are shed within 200 ms, most of them at once'
)
def step_bounded_wait(context):
    for _, waits in context.results:
        assert len(waits) >= 198 and max(waits) < 0.2, (len(waits), max(waits))
        assert 0 < sum(wait > 0 for wait in waits) <= 64, waits
