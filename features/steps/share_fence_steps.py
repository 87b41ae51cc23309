"""Steps of share_fence.feature."""

import asyncio

from behave import given, then, when
from fleet_model import FleetModel
from steering_fakes import declaration_of
from virtual_time import run_virtual

from balsamrail.errors import NotRunError, OverloadedError
from balsamrail.messages import Heartbeat

HOST = 'attiki-0'


def make_model(**options):
    return FleetModel(declaration_of(weights={'attiki': 1}), **options)


def admit(model, host):
    router = model.routers[host]
    return router.admit(service='diary', declaration=model.declaration, route=None)


async def fill(model, hosts):
    """Let requests that don't end take all the share that the hosts can get."""
    taken, shed = [], 0
    while shed < 5 * len(hosts):
        for host in hosts:
            try:
                taken.append(admit(model, host))
            except NotRunError:
                shed += 1
        await asyncio.sleep(1)
    return taken


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
        taken = await fill(model, [host for host in model.routers if host != HOST])
        return model, taken

    context.start = start


@when('it wakes while the store is {state} and gets requests for {duration_s:d} seconds')
def step_wakes(context, state, duration_s):
    async def main():
        model, taken = await context.start()
        held = model.routers[HOST].gate.ledger_by_region['attiki'].held('slots/diary/attiki')
        model.store.down = state == 'down'
        model.fleet.gone.clear()
        model.wake(HOST)
        assert not model.routers[HOST].has_share('diary')
        errors = []
        for _ in range(duration_s * 10):
            try:
                taken.append(admit(model, HOST))
            except OverloadedError as error:
                errors.append(error)
            await asyncio.sleep(0.1)
        context.result = (held, len(taken), [error.retry_after_s for error in errors[:40]])
        model.store.down = False
        for admission in taken:
            admission.close('ok')
        context.served = await is_served(model, within_s=20)
        await model.stop()

    run_virtual(main())


@then('the requests it sheds come back after 1 second and the region stays within its share')
def step_fenced(context):
    held, taken, retries = context.result
    assert held >= 2000, held
    assert 13 <= taken <= 14 and set(retries) == {1}, (taken, retries)


@then('with the store up it serves again within 20 seconds')
def step_serves(context):
    assert context.served


@given('nine hosts with the store down')
def step_outage(context):
    async def start():
        model = make_model(store_down=True)
        await model.start()
        # Lookups don't name hosts that started while the store is down.
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


@then('a host that is cut off sheds all after 31 seconds and serves 10 seconds after its return')
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
        # An answer to a heartbeat of before the pause is no sign of contact after it.
        assert any(isinstance(entry[2], Heartbeat) for entry in model.hub.held_by_paused[HOST])
        model.wake(HOST)
        assert not await model.request(HOST)
        assert await is_served(model, within_s=10)
        await model.stop()

    run_virtual(main())
