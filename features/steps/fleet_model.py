"""Nine routers with targets whose health reports lag, under virtual time."""

import asyncio
from collections import Counter
from random import Random

from steering_fakes import (
    REGIONS,
    FakeMembers,
    FakeNetwork,
    FakeStore,
    FakeTracker,
    Fleet,
    Hub,
    environment_of,
)

from balsamrail.errors import NotRunError
from balsamrail.messages import Heartbeat
from balsamrail.steering import AttemptResult, Router

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
        for region in REGIONS:
            for number in range(hosts):
                self.region_by_host[f'{region}-{number}'] = region
        environments = {}
        for host, region in self.region_by_host.items():
            environments[host] = environment_of(host, region=region)
            self.fleet.add(environments[host])
        for host, environment in environments.items():
            self.routers[host] = Router(
                environment=environment,
                tracker=self.tracker,
                members=FakeMembers(self.fleet, host),
                network=FakeNetwork(self.hub, host),
                store=self.store,
                random=Random(host),
                fetch=self.fetch,
            )
            self.routers[host].lending.enabled = lending

    async def start(self, *, settle_s=15):
        self.tasks = [asyncio.create_task(router.run()) for router in self.routers.values()]
        self.tasks.append(asyncio.create_task(self.report()))
        self.tasks.append(asyncio.create_task(self.heartbeats()))
        await asyncio.sleep(settle_s)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1)
            for host, router in self.routers.items():
                beat = Heartbeat(
                    sequence=1,
                    record_number=1,
                    epoch_by_region=router.epochs.epoch_by_region(),
                    spare_by_resource=router.lending.spare_by_resource(),
                )
                for other in self.random.sample(sorted(self.routers), 4):
                    if other != host:
                        self.hub.post(host, other, beat)

    async def report(self):
        """Health endpoints show what was so some seconds ago."""
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
        """Let requests arrive at each host at random, ``rate`` a second."""

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
