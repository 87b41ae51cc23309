"""A fleet whose hosts keep their manifest confirmed, on virtual time.

The manifest of version 2 withdraws a key that version 1 allows.
"""

import asyncio
import contextlib
import random

from feed_region import FeedFleet, FleetHost, StoreAccess
from memory_network import CURRENT_GATE, Gate, make_task

from balsamrail.catalog import CallerLimits, Manifest
from balsamrail.catalog.catalog import Catalog
from balsamrail.clock import Clock
from balsamrail.errors import StoreUnavailableError
from balsamrail.fleet.consistent_reader import ConsistentReader
from balsamrail.fleet.manifest_lease import ManifestLease
from balsamrail.fleet.manifest_questions import ManifestQuestions
from balsamrail.fleet.manifest_renewal import ManifestRenewal
from balsamrail.messages import ManifestAgeAnswer, ManifestAgeRequest, encode_message

REVOKE_S = 5
STEP_S = 0.02
# A watch with a shorter time-out is a read.
MIN_WATCH_S = 0.01
LEASE_MESSAGES = (ManifestAgeRequest, ManifestAgeAnswer)


class DelayedAccess(StoreAccess):
    """Delays each call and its answer at random."""

    def __init__(self, fleet):
        super().__init__(fleet.source)
        self.fleet = fleet
        self.answer_delay_s = 0
        self.refuses_reads = False

    async def list_objects(self, kind, *, is_stale_allowed=False):
        await self._delay()
        listing = await super().list_objects(kind, is_stale_allowed=is_stale_allowed)
        await self._answer()
        return listing

    async def watch(self, kind, *, revision, wait_s):
        if self.refuses_reads and wait_s < MIN_WATCH_S:
            raise StoreUnavailableError('no quorum')
        await self._delay()
        answer = await super().watch(kind, revision=revision, wait_s=wait_s)
        await self._answer()
        return answer

    async def _delay(self):
        if self.fleet.max_call_delay_s:
            await asyncio.sleep(self.fleet.random.uniform(0, self.fleet.max_call_delay_s))

    async def _answer(self):
        await self._delay()
        await asyncio.sleep(self.answer_delay_s)


class LeaseHost(FleetHost):
    """A host that can be frozen, and whose machine can be suspended."""

    def __init__(self, fleet, member):
        super().__init__(fleet, member)
        self.access = DelayedAccess(fleet)
        self.suspended_s = 0
        self.gate = Gate()
        self.waiting = []

    def start(self, **kind):
        token = CURRENT_GATE.set(self.gate)
        super().start(**kind)
        CURRENT_GATE.reset(token)

    def prepare(self, environment):
        loop = asyncio.get_running_loop()
        environment.clock = Clock(boottime=lambda: loop.time() + self.suspended_s)
        self.environment = environment
        self.catalog = Catalog(environment=environment)
        self.lease = ManifestLease(environment=environment, catalog=self.catalog)
        self.view.subscribe(self._offer)

    def start_more(self, environment, network):
        self.renewal = ManifestRenewal(
            environment=environment,
            catalog=self.catalog,
            lease=self.lease,
            members=self.members,
            questions=ManifestQuestions(
                environment=environment, lease=self.lease, network=network
            ),
            reader=ConsistentReader(
                environment=environment,
                lease=self.lease,
                source=self.access,
                view=self.view,
                watch=self.watch,
                relist=self.feed.relist,
            ),
            view=self.view,
            watch=self.watch,
            chance=self.fleet.random,
        )
        return (asyncio.create_task(self.renewal.run()),)

    def note_listed(self, sent_at, revision):
        self.lease.note_read(sent_at=sent_at, era=revision.era)

    def accepts(self, version=1):
        """Return whether the host accepts a key that the next version withdraws."""
        is_running = self.died_at is None and self.gate.open.is_set()
        return is_running and self.version() == version and self.lease.is_confirmed()

    def is_confirmed(self):
        return bool(self.version()) and self.lease.is_confirmed()

    def reads(self):
        return self.environment.metrics.counter('manifest_reads')

    def freeze(self):
        self.gate.open.clear()

    def thaw(self):
        """Let the host go on: it checks its requests before it gets what has arrived."""
        self.gate.open.set()
        was_accepting = self.accepts()
        waiting, self.waiting = self.waiting, []
        for deliver in waiting:
            deliver()
        return was_accepting

    def _offer(self, events):
        version = self.version()
        if version:
            manifest = Manifest(version=version, routes=(), services={}, limits=CallerLimits())
            self.catalog.offer_manifest(manifest)


class LeaseFleet(FeedFleet):
    """Hosts with a lease.

    Messages take up to ``max_delay_s`` more, and calls and their answers up to ``max_call_delay_s``, at
    random.
    """

    host_kind = LeaseHost

    def __init__(self, sizes, *, seed=1, revoke_s=REVOKE_S):
        self.random = random.Random(seed)
        self.max_delay_s = 0
        self.max_call_delay_s = 0
        super().__init__(sizes, config_apply_s=3, revoke_s=revoke_s)
        self.sent = []

    def latency_s(self):
        return super().latency_s() + self.random.uniform(0, self.max_delay_s)

    def deliver(self, sender, receiver, message):
        if isinstance(message, LEASE_MESSAGES):
            self.sent.append((sender, receiver, type(message), len(encode_message(message))))
        host = self.hosts[receiver]
        if host.gate.open.is_set():
            super().deliver(sender, receiver, message)
        else:
            host.waiting.append(lambda: super(LeaseFleet, self).deliver(sender, receiver, message))

    def cut_off_completely(self, host):
        host.access.is_cut = True
        self.cut_off.add(host.member.host)

    async def watch_ages(self, seconds):
        """Return the oldest age of any running host, and the hosts that refused meanwhile."""
        oldest, refused = 0, set()
        async for _ in every_step(seconds):
            for host in self.live_hosts():
                oldest = max(oldest, host.lease.age_s())
                if not host.is_confirmed():
                    refused.add(host.member.host)
        return oldest, refused


async def every_step(seconds):
    """Yield the time since the call in small steps."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < seconds:
        yield loop.time() - began
        await asyncio.sleep(STEP_S)


@contextlib.asynccontextmanager
async def started_lease_fleet(sizes, **options):
    """Run a fleet whose hosts have the manifest of version 1."""
    asyncio.get_running_loop().set_task_factory(make_task)
    fleet = LeaseFleet(sizes, **options)
    await fleet.start()
    try:
        yield fleet
    finally:
        for host in fleet.hosts.values():
            host.gate.open.set()
        await fleet.stop()
        # The tasks of hosts that were killed end too.
        await asyncio.sleep(1)
