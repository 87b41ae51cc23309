"""Fleet of nine routers and targets with lagging health reports, in virtual time."""

import asyncio
import contextvars
from collections import Counter
from functools import partial
from random import Random

from steering_fakes import (
    REGIONS,
    FakeMembers,
    FakeNetwork,
    FakeStore,
    FakeTracker,
    Fleet,
    Hub,
    make_environment,
)

from balsamrail.errors import NotRunError
from balsamrail.messages import Heartbeat, HeartbeatAck
from balsamrail.steering import AttemptResult, Router
from features.steps.memory_network import CURRENT_GATE, Gate, make_task

LAG_S = 3.0


class FleetModel:
    def __init__(self, declaration, *, hosts=3, lending=True, store_down=False):
        self.declaration = declaration
        self.random = Random(1)
        self.fleet = Fleet()
        self.hub = Hub(delay_s=0.012)
        self.store = FakeStore()
        self.store.down = store_down
        self.tracker = FakeTracker(declaration)
        self.routers = {}
        self.region_by_host = {}
        self.in_flight = Counter()
        self.highest = Counter()
        self.admitted = Counter()
        self.admitted_at = []
        self.shed = Counter()
        self.failing = set()
        self.health = {}
        self.reports = {}
        self.tasks = []
        self.gate_by_host = {}
        for region in REGIONS:
            for number in range(hosts):
                self.region_by_host[f'{region}-{number}'] = region
        environments = {}
        for host, region in self.region_by_host.items():
            environments[host] = make_environment(host, region=region)
            self.fleet.add(environments[host])
        for host, environment in environments.items():
            self.gate_by_host[host] = Gate()
            network = FakeNetwork(self.hub, host)
            network.subscribe(Heartbeat, partial(self.acknowledge, host))
            self.routers[host] = Router(
                environment=environment,
                tracker=self.tracker,
                members=FakeMembers(self.fleet, host),
                network=network,
                store=self.store,
                random=Random(host),
                fetch=self.fetch,
            )
            self.routers[host].lending.enabled = lending

    async def start(self, *, settle_s=15):
        asyncio.get_running_loop().set_task_factory(make_task)
        self.tasks = [self.run_gated(host) for host in self.routers]
        self.tasks.append(asyncio.create_task(self.report()))
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        await asyncio.sleep(settle_s)

    def run_gated(self, host):
        context = contextvars.copy_context()
        context.run(CURRENT_GATE.set, self.gate_by_host[host])
        return asyncio.create_task(self.routers[host].run(), context=context)

    def freeze(self, host):
        """Stop a host like a stopped process; messages to it are held back."""
        self.gate_by_host[host].open.clear()
        self.hub.held_by_paused[host] = []

    def resume(self, host):
        """Resume a host, which first receives the messages that were held back."""
        for sender, receiver, message in self.hub.held_by_paused.pop(host):
            self.hub.deliver(sender, receiver, message)
        self.gate_by_host[host].open.set()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1)
            for host, router in self.routers.items():
                if host in self.hub.held_by_paused:
                    continue
                beat = Heartbeat(
                    sequence=1,
                    record_number=1,
                    epoch_by_region=router.epochs.epoch_by_region(),
                    spare_by_resource=router.lending.spare_by_resource(),
                )
                for other in self.random.sample(sorted(self.routers), 4):
                    if other != host:
                        self.hub.post(host, other, beat)

    def acknowledge(self, host, sender, beat):
        self.hub.post(host, sender, HeartbeatAck(sequence=beat.sequence, record_number=1))

    async def report(self):
        """Publish the load of all targets with a delay of ``LAG_S``."""
        while True:
            loop = asyncio.get_running_loop()
            loop.call_later(LAG_S, self.reports.update, dict(self.in_flight))
            await asyncio.sleep(0.5)

    async def fetch(self, address):
        await asyncio.sleep(0.006)
        if address in self.failing:
            raise OSError('refused')
        state = self.health.get(address, 'live')
        return {'state': state, 'in_flight': self.reports.get(address, 0), 'slots': 4}

    async def request(self, host, *, service='diary', work_s=0.1):
        router = self.routers[host]
        try:
            admission = router.admit(service=service, declaration=self.declaration, route=None)
        except NotRunError:
            self.shed[host] += 1
            return False
        address = admission.target.address
        now = asyncio.get_running_loop().time()
        self.admitted[host] += 1
        self.admitted_at.append((now, host, address, admission.region))
        self.in_flight[address] += 1
        self.in_flight[admission.region] += 1
        for key in (address, admission.region):
            self.highest[key] = max(self.highest[key], self.in_flight[key])
        if address in self.failing:
            await asyncio.sleep(0.001)
            outcome = AttemptResult.failed
        else:
            await asyncio.sleep(self.random.expovariate(1 / work_s))
            outcome = AttemptResult.ok
        self.in_flight[address] -= 1
        self.in_flight[admission.region] -= 1
        admission.close(outcome)
        return outcome is AttemptResult.ok

    async def load(self, rate_by_host, *, duration_s, work_s=0.1):
        """Send requests to each host at random intervals, with the given rates per second."""

        async def arrive(host, rate):
            end = asyncio.get_running_loop().time() + duration_s
            async with asyncio.TaskGroup() as tasks:
                while asyncio.get_running_loop().time() < end:
                    await asyncio.sleep(self.random.expovariate(rate))
                    tasks.create_task(self.request(host, work_s=work_s))

        async with asyncio.TaskGroup() as tasks:
            for host, rate in rate_by_host.items():
                if rate:
                    tasks.create_task(arrive(host, rate))
