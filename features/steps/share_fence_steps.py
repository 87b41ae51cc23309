"""Steps of share_fence.feature."""

import asyncio

from behave import given, then, when
from fleet_model import FleetModel
from steering_fakes import make_declaration
from virtual_time import run_virtual

from balsamrail.errors import NotRunError, OverloadedError
from balsamrail.messages import Heartbeat

HOST = 'attiki-0'


def make_model(**options):
    return FleetModel(make_declaration(weights={'attiki': 1}), **options)


def admit(model, host):
    router = model.routers[host]
    return router.admit(service='diary', declaration=model.declaration, route=None)


async def use_all_share(model, hosts):
    """Use all share that the hosts can obtain with requests that do not end."""
    admissions, shed = [], 0
    while shed < 5 * len(hosts):
        for host in hosts:
            try:
                admissions.append(admit(model, host))
            except NotRunError:
                shed += 1
        await asyncio.sleep(1)
    return admissions


async def is_served(model, *, within_s):
    for _ in range(within_s * 2):
        if await model.request(HOST):
            return True
        await asyncio.sleep(0.5)
    return False


@given('a frozen holder whose share was reclaimed and is in use at other hosts')
def step_reclaimed(context):
    async def start():
        model = make_model()
        await model.start()
        model.freeze(HOST)
        await asyncio.sleep(3)
        model.fleet.gone.add(HOST)
        await asyncio.sleep(60)
        admissions = await use_all_share(model, [host for host in model.routers if host != HOST])
        return model, admissions

    context.start = start


@when('it resumes while the store is {state} and receives requests for {duration_s:d} seconds')
def step_resumes(context, state, duration_s):
    async def main():
        model, admissions = await context.start()
        held = model.routers[HOST].limiter.ledger_by_region['attiki'].held('slots/diary/attiki')
        model.store.down = state == 'down'
        model.fleet.gone.clear()
        model.resume(HOST)
        assert not model.routers[HOST].has_share('diary')
        errors = []
        for _ in range(duration_s * 10):
            try:
                admissions.append(admit(model, HOST))
            except OverloadedError as error:
                errors.append(error)
            await asyncio.sleep(0.1)
        context.result = (held, len(admissions), [error.retry_after_s for error in errors[:40]])
        model.store.down = False
        for admission in admissions:
            admission.close('ok')
        context.served = await is_served(model, within_s=20)
        await model.stop()

    run_virtual(main())


@then('shed requests get a retry delay of 1 second and the region stays within its share')
def step_fenced(context):
    held, admissions, retries = context.result
    assert held >= 2000, held
    assert 13 <= admissions <= 14 and set(retries) == {1}, (admissions, retries)


@then('with the store up it serves again within 20 seconds')
def step_serves(context):
    assert context.served


@given('nine hosts with the store down')
def step_outage(context):
    async def start():
        model = make_model(store_down=True)
        await model.start()
        # Lookups exclude hosts that started while the store is down.
        assert not any(router.has_share('diary') for router in model.routers.values())
        model.store.down = False
        await asyncio.sleep(15)
        assert model.routers[HOST].has_share('diary')
        model.store.down = True
        return model

    context.start = start


@then('no request is shed for 100 seconds')
def step_uninterrupted(context):
    async def main():
        model = await context.start()
        local = {host: 5 for host, place in model.region_by_host.items() if place == 'attiki'}
        for _ in range(50):
            for host in local:
                assert await model.request(host, work_s=0.01), model.shed
            await asyncio.sleep(2)
        await model.stop()

    run_virtual(main())


@then(
    'an isolated host sheds all requests after 31 seconds and serves 10 seconds after its return'
)
def step_cut(context):
    async def main():
        model = await context.start()
        model.hub.lost = lambda sender, receiver, message: HOST in {sender, receiver}
        await asyncio.sleep(29)
        assert await model.request(HOST)
        await asyncio.sleep(2)
        assert not await is_served(model, within_s=40)
        model.hub.lost = lambda sender, receiver, message: False
        assert await is_served(model, within_s=10)
        await model.stop()

    run_virtual(main())


@then('a host that was frozen for 35 seconds sheds at first and serves after 10 seconds')
def step_frozen(context):
    async def main():
        model = await context.start()
        model.freeze(HOST)
        await asyncio.sleep(35)
        # The reply to a heartbeat from before the pause does not count as contact after it.
        assert any(isinstance(entry[2], Heartbeat) for entry in model.hub.held_by_paused[HOST])
        model.resume(HOST)
        assert not await model.request(HOST)
        assert await is_served(model, within_s=10)
        await model.stop()

    run_virtual(main())
