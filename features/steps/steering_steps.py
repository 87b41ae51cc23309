"""Steps of steering.feature for use of regional capacity under load, and for request costs."""

import json

from behave import given, then, when
from steering_fakes import REGIONS, make_declaration
from steering_model_runner import run_model

from balsamrail.configuration import load_declaration
from balsamrail.steering.cost_vector import cost_vector


@given('nine hosts with three regions of 16 slots')
def step_nine(context):
    context.declaration = make_declaration()


@when('demand at the hosts of one region rises tenfold')
def step_demand(context):
    async def script(model):
        await model.load(dict.fromkeys(model.routers, 4), duration_s=10)
        rates = {
            host: 40 if region == 'attiki' else 4 for host, region in model.region_by_host.items()
        }
        await model.load(rates, duration_s=15)

    run_model(context, script)


@then('no region or target ever has more requests than slots')
def step_within(context):
    for place, highest in context.model.highest.items():
        assert highest <= (14 if place in REGIONS else 4), context.model.highest


@then("hosts use at least 85% of the region's share")
def step_used(context):
    assert context.model.highest['attiki'] >= 0.85 * 14.4, context.model.highest


@given('three regions of 16 slots and a service of priority {priority:d}')
def step_low(context, priority):
    context.declaration = make_declaration(priority=priority)


@when('demand at all hosts is far above the capacity')
def step_far_above(context):
    async def script(model):
        await model.load(dict.fromkeys(model.routers, 60), duration_s=5)

    run_model(context, script)


@then('of the 14.4 slots of a region the service never uses more than {most:d}')
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
