"""Steps of platform_store.feature for the recorded losses."""

from behave import then, when
from platform_store_steps import _run_with_store

from balsamrail.platform.loss_store import LossStore

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
                await host.write_losses(losses)
            context.writes.append(sum(method != 'GET' for method, _ in standin.calls))

        await record(FIRST, hosts)
        await record(BOTH, hosts)
        standin.put('balsamrail-losses', 'agreed', {'losses': 3})
        await record(BOTH, hosts[:1])
        context.losses = await hosts[1].read_losses()

    _run_with_store(context, scenario)


@then('they make 1, 1 and 1 writes, and a host reads the losses')
def step_writes(context):
    assert context.writes == [1, 1, 1], context.writes
    assert context.losses == BOTH, context.losses
