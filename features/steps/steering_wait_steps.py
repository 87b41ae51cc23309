"""Steps of steering.feature for the time that a request waits for share."""

import asyncio

from behave import given, then
from fleet_model import FleetModel
from steering_fakes import REGIONS, make_declaration
from virtual_time import run_virtual

from balsamrail.errors import OverloadedError


@given('nine hosts, of which one or all send requests to one region')
def step_one_region(context):
    async def send(hosts):
        model = FleetModel(make_declaration(weights={'attiki': 1}))
        await model.start()
        used = 0

        async def admit(host):
            router = model.routers[host]
            started = asyncio.get_running_loop().time()
            try:
                await router.admit_with_borrowing(
                    service='diary', declaration=model.declaration, route=None
                )
            except OverloadedError:
                return asyncio.get_running_loop().time() - started
            return None

        # A new request begins every half second and none ends.
        while await admit(hosts[used % len(hosts)]) is None:
            used += 1
            await asyncio.sleep(0.5)
        # Use the remaining share, so that the concurrent requests find none.
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


@then('90% of the share of the region is in use before the first request is shed')
def step_in_use(context):
    assert all(used >= 0.9 * 14.4 for used, _ in context.results), context.results


@then('of 200 concurrent requests without share all are shed within 200 ms, most of them at once')
def step_bounded_wait(context):
    for _, waits in context.results:
        assert len(waits) >= 198 and max(waits) < 0.2, (len(waits), max(waits))
        assert 0 < sum(wait > 0 for wait in waits) <= 64, waits
