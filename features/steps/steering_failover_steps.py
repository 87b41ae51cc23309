"""Steps of steering.feature for failing and leaving targets."""

import asyncio

from behave import given, then, when
from steering_fakes import make_declaration
from steering_model_runner import run_model

ATTIKI_ADDRESSES = frozenset(f'10.0.0.{number}:80' for number in range(1, 5))


@given('nine hosts with a failover cap of {fraction:g} in {per_s:g} seconds')
def step_capped(context, fraction, per_s):
    context.declaration = make_declaration(failover_cap={'fraction': fraction, 'per_s': per_s})


@when('all targets of attiki fail while the store is down')
def step_lost(context):
    def lose_targets(model):
        model.store.down = True
        model.failing = set(ATTIKI_ADDRESSES)

    run_with_loss(context, lose_targets)


@when('the platform lists all targets of attiki as leaving')
def step_listed(context):
    def list_targets(model):
        model.fleet.leaving_addresses = set(ATTIKI_ADDRESSES)

    run_with_loss(context, list_targets)


def run_with_loss(context, lose):
    """Send requests to the hosts of attiki for 10 s before and 10 s after ``lose(model)``."""

    async def script(model):
        rates = {host: 10 for host, place in model.region_by_host.items() if place == 'attiki'}
        await model.load(rates, duration_s=10)
        context.lost_at = asyncio.get_running_loop().time()
        lose(model)
        await model.load(rates, duration_s=10)

    run_model(context, script)


@then('requests at its hosts are served in other regions within {limit_s:g} seconds')
def step_elsewhere(context, limit_s):
    late = [e for e in context.model.admitted_at if e[0] > context.lost_at + limit_s]
    served = [entry for entry in late if entry[3] != 'attiki']
    # 30 requests per second arrive in the last 7 s.
    assert len(served) > 0.9 * 210, (len(served), len(late))
    assert len(late) - len(served) < 0.05 * 210, (len(served), len(late))


@then('at most {fraction:g} of the requests at its hosts went to other regions in 10 seconds')
def step_spilled(context, fraction):
    after = [entry for entry in context.model.admitted_at if entry[0] > context.lost_at]
    elsewhere = sum(entry[3] != 'attiki' for entry in after)
    assert 0 < elsewhere <= fraction * 30 * 20, elsewhere


@when('a target reports that it leaves while requests arrive at all hosts')
def step_leaving(context):
    async def script(model):
        rates = dict.fromkeys(model.routers, 10)
        await model.load(rates, duration_s=3)
        context.left_at = asyncio.get_running_loop().time()
        model.health['10.0.0.1:80'] = 'leaving'
        await model.load(rates, duration_s=12)

    run_model(context, script)


@then('no host sends it a request after {limit_s:g} seconds')
def step_left(context, limit_s):
    times = [entry[0] for entry in context.model.admitted_at if entry[2] == '10.0.0.1:80']
    assert times and max(times) <= context.left_at + limit_s, (max(times), context.left_at)
