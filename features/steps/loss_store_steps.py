"""Steps of platform_store.feature for the recorded losses."""

import asyncio
from unittest import mock

from behave import given, then, when
from platform_helpers import make_environment
from platform_store_steps import _run_with_store

from balsamrail.membership.loss_record import LossRecord
from balsamrail.platform.loss_store import LossStore
from balsamrail.platform.object_store import ObjectStore

KIND = 'balsamrail-losses'
NAME = 'agreed'

FIRST = ['attiki-1@1#0']
BOTH = [*FIRST, 'attiki-2@1#0']


@when(
    'two hosts record a loss, then both record two, and one after the record has become unreadable'
)
def step_record(context):
    async def scenario(store, standin):
        hosts = [LossStore(store=store), LossStore(store=store)]
        context.writes = []

        async def record(losses, recorders):
            standin.calls.clear()
            for host in recorders:
                await host.write_losses(losses, is_stale_allowed=True)
            context.writes.append(sum(method != 'GET' for method, _ in standin.calls))

        await record(FIRST, hosts)
        await record(BOTH, hosts)
        standin.put(KIND, NAME, {'losses': 3})
        await record(BOTH, hosts[:1])
        context.losses = await hosts[1].read_losses()

    _run_with_store(context, scenario)


@then('they make 1, 1 and 1 writes, and a host reads the losses')
def step_writes(context):
    assert context.writes == [1, 1, 1], context.writes
    assert context.losses == BOTH, context.losses


@given('a host that has recorded a loss')
def step_recorded(context):
    async def begin(store):
        record = LossRecord(environment=make_environment(), source=LossStore(store=store))
        running = asyncio.create_task(record.run())
        record.report(FIRST)
        await asyncio.sleep(0.1)
        return record, running

    context.begin = begin


@when('the store comes back from a copy without the record, while stale reads still show it')
def step_lost(context):
    read = ObjectStore.read

    async def scenario(store, standin):
        record, running = await context.begin(store)
        old = await store.read(KIND, NAME)
        assert old.spec == {'losses': FIRST}, old
        standin.remove(KIND, NAME)

        async def read_old(store, kind, name, *, is_stale_allowed=False):
            return old if is_stale_allowed else await read(store, kind, name)

        with mock.patch.object(ObjectStore, 'read', read_old):
            record.report_again()
            await asyncio.sleep(0.1)
        context.stored = await store.read(KIND, NAME)
        running.cancel()

    _run_with_store(context, scenario)


@then('the host records the loss again')
def step_recorded_again(context):
    assert context.stored is not None
    assert context.stored.spec == {'losses': FIRST}, context.stored
