"""Steps of proxying.feature in which the paths of hosts return."""

import asyncio

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to
from platform_helpers import run_real

SILENT_S = 60.0
POLL_S = 0.01
WATCHED_S = 2.0


class CutHost:
    """A host with health checks whose targets answer nothing that is sent while it is cut off."""

    def __init__(self, *, targets):
        self.is_cut = True
        self.targets = targets
        self.delivery = DeliveryHarness([self._respond] * targets)

    async def _respond(self, number, headers, writer):
        if self.is_cut:
            await asyncio.sleep(SILENT_S)
        writer.write(response_to(headers))

    async def start(self, *, down):
        await self.delivery.start()
        registry = self.delivery.target_registry
        self.states = [registry.state_of(f'i-{number}') for number in range(self.targets)]
        now = self.now()
        for state in self.states[:down]:
            state.note_down(check_at=now, now=now)
        self._checking = asyncio.create_task(self.delivery.make_health_checker().run())

    def now(self):
        return asyncio.get_running_loop().time()

    def stop(self):
        self._checking.cancel()
        self.delivery.stop()

    def down_ids(self):
        return {state.entry.target_id for state in self.states if state.is_down}

    async def recovery_s(self, *, cut_s):
        """Return how long after a cut all targets are used again, at most two seconds."""
        await self.start(down=self.targets)
        await asyncio.sleep(cut_s)
        self.is_cut = False
        healed_at = self.now()
        while self.now() < healed_at + WATCHED_S:
            await asyncio.sleep(POLL_S)
            if not self.down_ids():
                break
        recovery_s = self.now() - healed_at
        self.stop()
        return recovery_s


@given('12 hosts with {targets:d} targets each, all of which say nothing')
def step_cut_hosts(context, targets):
    context.hosts = [CutHost(targets=targets) for _ in range(12)]


@when('the health checks of the hosts run, and their targets respond again after 2.4 s to 4 s')
def step_return(context):
    async def play():
        step_s = 1.6 / len(context.hosts)
        context.recoveries_s = await asyncio.gather(
            *(
                host.recovery_s(cut_s=2.4 + number * step_s)
                for number, host in enumerate(context.hosts)
            )
        )

    run_real(play())


@then('each host uses all its targets again within {bound_s:g} s')
def step_recovered(context, bound_s):
    assert max(context.recoveries_s) < bound_s, context.recoveries_s


@given('a host of whose six targets three are down, and the others say nothing for a time')
def step_cut_host(context):
    context.host = CutHost(targets=6)


@when('the health checks of the host run, and all targets respond again after 0.9 s')
def step_return_once(context):
    async def play():
        host = context.host
        await host.start(down=3)
        await asyncio.sleep(0.9)
        assert len(host.down_ids()) == 3, host.down_ids()
        host.is_cut = False
        context.wrongly_down = set()
        until = host.now() + WATCHED_S
        while host.now() < until:
            context.wrongly_down |= host.down_ids() & {'i-3', 'i-4', 'i-5'}
            await asyncio.sleep(POLL_S)
        context.down_ids = host.down_ids()
        host.stop()

    run_real(play())


@then('from then on no target is taken for down')
def step_not_down(context):
    assert not context.wrongly_down, context.wrongly_down
    assert not context.down_ids, context.down_ids
