"""Steps of shares.feature."""

import asyncio
from random import Random

from behave import given, then, when
from fleet_model import FleetModel
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st
from share_model import OBJECT, REGION, SLOTS, ShareModel
from steering_fakes import FakeMembers, FakeNetwork, Fleet, Hub, make_declaration, make_environment
from virtual_time import run_virtual

from balsamrail.steering.share_ledger import ShareLedger
from balsamrail.steering.share_lending import ShareLending

KINDS = ['step'] * 3 + ['advance'] * 2 + ['borrow'] * 6 + ['deliver'] * 6 + ['round'] * 8
KINDS += ['epoch'] * 4 + ['seal', 'drop', 'stall', 'resume', 'fail', 'cut', 'lose', 'down']


def operations(*more):
    position = st.integers(0, 3)
    kind = st.sampled_from([*KINDS, *more])
    return st.lists(
        st.tuples(kind, position, position, st.integers(0, 6000)), min_size=30, max_size=80
    )


def check_all(strategy):
    async def run_operations(events):
        model = ShareModel()
        await model.run_operations(events)
        living = [h for name, h in model.hosts.items() if name not in model.fleet.gone]
        return sum(host.ledger.held(SLOTS) for host in living), model.total()

    @settings(phases=[Phase.explicit, Phase.generate])
    @for_all(strategy)
    def check(events):
        held, total = run_virtual(run_operations(events))
        # Rounding may cost each of the four holders one thousandth when shares are scaled down.
        assert total - 4 <= held <= total, (held, total)

    check()


@when('hosts borrow, seal, fail, pause and write epochs in any order')
def step_any_order(context):
    check_all(operations())


@then('the shares held never exceeded the totals and are fully assigned at the end')
@then('the shares held never exceeded the largest total and match the last one at the end')
def step_checked(context):
    """Nothing to do: the model checks after each event."""


@when('the totals also change between such events')
def step_any_totals(context):
    check_all(operations('totals', 'totals'))


@when('the store also comes back from copies between such events')
def step_copies(context):
    check_all(operations('copy', 'copy', 'restore', 'restore'))


@given('a fleet with its first share epoch')
def step_first_epoch(context):
    async def start():
        model = ShareModel()
        await model.recover()
        return model

    context.start = start


@when('a host is silent while the totals change and then returns')
def step_silent(context):
    async def main():
        model = await context.start()
        silent = model.hosts['m1']
        before = silent.ledger.held(SLOTS)
        model.fleet.cut.add('m1')
        model.store.resume['m1'] = asyncio.Event()
        from_others = [h for name, h in model.hosts.items() if name != 'm1']
        model.tracker.change(make_declaration(slots=5))
        model.largest = model.total()
        for _ in range(80):
            await asyncio.sleep(0.5)
            for host in from_others:
                await model.step(host, yields=5)
            while model.hub.pending:
                sender, receiver, message = model.hub.pending.pop(0)
                if receiver != 'm1':
                    model.hub.deliver(sender, receiver, message)
            model.check()
        kept = silent.ledger.holder in model.stored().unsealed
        model.fleet.cut.clear()
        for _ in range(20):
            silent.epochs.observe_epoch(model.stored().epoch)
            await asyncio.sleep(0.5)
            await model.step(silent, yields=5)
            model.check()
        context.silent = (before, silent.ledger.held(SLOTS), kept, silent.ledger.epoch)

    run_virtual(main())


@then('its share was reserved and it holds the same amount as before')
def step_kept(context):
    before, after, kept, epoch = context.silent
    assert kept and before == after > 0 and epoch > 1, context.silent


@when('the coordinator pauses during its write and another host writes the next epoch')
def step_paused(context):
    async def main():
        model = await context.start()
        # The first change identifies the coordinator, which is paused for the second one.
        writers = []
        write = model.store.write

        async def noting(name, **call):
            writers.append(call['writer'])
            return await write(name, **call)

        model.store.write = noting
        model.tracker.change(make_declaration(slots=5))
        model.largest = model.total()
        await model.recover()
        coordinator = model.hosts[writers[0]]
        model.store.resume[coordinator.name] = asyncio.Event()
        model.tracker.change(make_declaration(slots=6))
        model.largest = model.total()
        for _ in range(40):
            await asyncio.sleep(0.5)
            await model.step(coordinator, yields=5)
        assert not coordinator.task.done()
        model.fleet.cut.add(coordinator.name)
        others = [host for host in model.hosts.values() if host is not coordinator]
        for _ in range(60):
            await asyncio.sleep(0.5)
            for host in others:
                await model.step(host, yields=5)
            while model.hub.pending:
                await model.deliver(0, is_duplicated=False)
        version = model.store.objects[OBJECT][0]
        model.resume(coordinator)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert coordinator.task.done()
        assert model.store.objects[OBJECT][0] == version
        await model.recover()
        context.model = model

    run_virtual(main())


@then('the paused write is rejected and all hosts hold what the other host wrote')
def step_refused(context):
    model = context.model
    assert model.total_held() == model.total(), (model.total_held(), model.total())
    assert {host.ledger.epoch for host in model.hosts.values()} == {model.stored().epoch}


@when('one of nine hosts hands over its share')
def step_hand_over(context):
    async def main():
        model = FleetModel(make_declaration())
        await model.start()
        await model.routers['attiki-0'].lending.hand_over()
        await asyncio.sleep(5)
        context.held = {
            host: router.limiter.ledger_by_region[REGION].held(SLOTS)
            for host, router in model.routers.items()
        }
        await model.stop()

    run_virtual(main())


@then('it holds no share a few seconds later and the others hold all of it')
def step_handed_over(context):
    assert context.held['attiki-0'] == 0 and sum(context.held.values()) == 14_400, context.held


@when('a host of a fleet of {count:d} lacks share for 10 seconds')
def step_large(context, count):
    async def main():
        fleet, hub = Fleet(), Hub(delay_s=0.01)
        for number in range(count):
            fleet.add(make_environment(f'h{number}', region=REGION))
            FakeNetwork(hub, f'h{number}')
        environment = make_environment('h0', region=REGION)
        ledger = ShareLedger(region=REGION, holder=environment.holder)
        ledger.adopt(1, base={}, unsealed=False)
        lending = ShareLending(
            environment=environment,
            members=FakeMembers(fleet, 'h0'),
            network=FakeNetwork(hub, 'h0'),
            ledger_by_region={REGION: ledger},
            random=Random(1),
        )
        task = asyncio.create_task(lending.run())
        for _ in range(100):
            lending.request(REGION, {SLOTS: 1000})
            await asyncio.sleep(0.1)
        task.cancel()
        context.count = hub.count

    run_virtual(main())


@then('it sends at most {count:d} messages')
def step_few(context, count):
    assert 0 < context.count <= count, context.count


@given('a host that sealed its epoch')
def step_sealed(context):
    context.ledger = ShareLedger(region=REGION, holder='a1@1')
    context.ledger.adopt(1, base={SLOTS: 3000}, unsealed=False)
    assert context.ledger.lend(borrower='b@1', amounts={SLOTS: 1000}) == {SLOTS: 1000}
    context.ledger.seal(1)


@then('a peer that requests share gets nothing and a late loan is ignored')
def step_sealed_keeps(context):
    ledger = context.ledger
    assert ledger.lend(borrower='b@1', amounts={SLOTS: 1000}) == {SLOTS: 1000}
    assert not ledger.receive(lender='c@1', epoch=1, totals={SLOTS: 500})
    assert ledger.held(SLOTS) == 2000
