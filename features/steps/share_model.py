"""Model of a fleet whose hosts borrow, seal and write share epochs in any order."""

import asyncio
from random import Random

from steering_fakes import (
    FakeMembers,
    FakeNetwork,
    FakeStore,
    FakeTracker,
    Fleet,
    Hub,
    WriterStore,
    make_declaration,
    make_environment,
)

from balsamrail.messages import ShareEpochAnnounce, ShareGiven, ShareRequest, ShareSealed
from balsamrail.steering.context import SteeringContext
from balsamrail.steering.region_epochs import RegionEpochs
from balsamrail.steering.resources import resource_totals
from balsamrail.steering.share_epoch import decode_epoch
from balsamrail.steering.share_fence import ShareFence
from balsamrail.steering.share_ledger import ShareLedger
from balsamrail.steering.share_lending import ShareLending

REGION = 'attiki'
SLOTS = 'slots/diary/attiki'
OBJECT = 'shares/attiki'
# A request of a failed host may run at its target for this long.
LONGEST_DEADLINE_S = 8
HOSTS = {'a1': 'attiki', 'a2': 'attiki', 'm1': 'makedonia', 'm2': 'makedonia'}


class ModelHost:
    def __init__(self, model, name, region):
        self.name = name
        self.environment = make_environment(name, region=region)
        model.fleet.add(self.environment)
        parts = {
            'environment': self.environment,
            'members': FakeMembers(model.fleet, name),
            'network': FakeNetwork(model.hub, name),
            'random': Random(1),
        }
        self.ledger = ShareLedger(region=REGION, holder=self.environment.holder)
        self.lending = ShareLending(ledger_by_region={REGION: self.ledger}, **parts)
        store = WriterStore(model.store, name)
        self.epochs = RegionEpochs(
            context=SteeringContext(tracker=model.tracker, store=store, **parts),
            ledger=self.ledger,
            assigned_slots=lambda region, epoch: {},
            fence=ShareFence(
                ledger_by_region={REGION: self.ledger}, known_epochs=dict, enabled=False, **parts
            ),
        )
        network = parts['network']
        network.subscribe(*_announce(self.epochs))
        network.subscribe(*_sealed(self.epochs))
        self.task = None


def _announce(epochs):
    return ShareEpochAnnounce, lambda host, said: epochs.observe_epoch(
        said.epoch, sealing=said.sealing
    )


def _sealed(epochs):
    return ShareSealed, lambda host, report: epochs.collect(report)


class ShareModel:
    def __init__(self, *, slots=4):
        self.fleet = Fleet()
        self.hub = Hub()
        self.store = FakeStore()
        self.store.written = self.check_epoch
        self.slots = slots
        self.link_mbit_s = 280
        self.last_epoch = 0
        self.violations = []
        self.gone_at = {}
        self.holders = set()
        self.copy = {}
        self.reclaimed = set()
        self.tracker = FakeTracker(self.declaration())
        self.largest = self.total()
        self.hosts = {name: ModelHost(self, name, region) for name, region in HOSTS.items()}

    def total(self):
        return resource_totals(self.tracker.declaration, region=REGION)[SLOTS]

    def declaration(self):
        return make_declaration(
            slots=self.slots,
            link_mbit_s=self.link_mbit_s,
            deadline_ms=LONGEST_DEADLINE_S * 1_000,
        )

    def declare(self):
        self.tracker.change(self.declaration())
        self.largest = max(self.largest, self.total())

    def stored(self):
        version, value = self.store.objects.get(OBJECT, (0, None))
        return decode_epoch(value) if version else None

    def total_held(self):
        """Return the sum held by all hosts, including failed ones until an epoch reclaims it.

        A copy that lists a failed host again does not undo that its share was reclaimed.
        """
        stored = self.stored()
        holders = stored.holders() - self.reclaimed if stored else set()
        return sum(
            host.ledger.held(SLOTS)
            for name, host in self.hosts.items()
            if name not in self.fleet.gone or host.ledger.holder in holders
        )

    def check(self):
        assert not self.violations, self.violations
        assert self.total_held() <= self.largest, (self.total_held(), self.largest, self.stored())
        assert all(host.ledger.held(SLOTS) >= 0 for host in self.hosts.values())

    def check_epoch(self, value):
        """Check that an epoch assigns no more than silent hosts leave available."""
        epoch = decode_epoch(value)
        kept = sum(
            host.ledger.held(SLOTS)
            for host in self.hosts.values()
            if host.ledger.holder in epoch.unsealed
        )
        given = sum(base.get(SLOTS, 0) for base in epoch.base.values())
        is_first = epoch.epoch > self.last_epoch
        self.last_epoch = epoch.epoch
        reclaimed = self.holders - epoch.holders()
        self.holders = epoch.holders()
        self.reclaimed |= reclaimed
        for host in self.hosts.values():
            now = asyncio.get_running_loop().time()
            gone_s = now - self.gone_at.get(host.name, now)
            if host.ledger.holder in reclaimed and gone_s < LONGEST_DEADLINE_S:
                self.violations.append((host.name, gone_s, epoch))
        # An assertion would be lost in the task of the coordinator, so check() makes it.
        if is_first and given and given + kept > epoch.totals[SLOTS]:
            self.violations.append((given, kept, epoch))

    async def apply(self, operation):
        kind, first, second, amount = operation
        names = list(HOSTS)
        host = self.hosts[names[first % 4]]
        other = self.hosts[names[second % 4]]
        match kind:
            case 'step':
                await self.step(host, yields=5)
            case 'advance':
                await asyncio.sleep(amount / 1000)
            case 'borrow':
                await self.borrow(host, other, amount)
            case 'round':
                await self.round(silent=host if amount % 2 else None)
            case 'seal':
                # The totals of other resources change, which requires a new epoch.
                self.link_mbit_s += 1
                self.declare()
            case 'deliver' if self.hub.pending:
                await self.deliver(first * 4 + second, is_duplicated=amount % 3 == 0)
            case 'drop' if self.hub.pending:
                self.hub.pending.pop((first * 4 + second) % len(self.hub.pending))
            case 'stall':
                self.store.resume.setdefault(host.name, asyncio.Event())
            case 'resume':
                self.resume(host)
            case 'fail' if len(self.fleet.gone) < 2:
                self.fleet.gone.add(host.name)
                self.gone_at.setdefault(host.name, asyncio.get_running_loop().time())
            case 'cut':
                self.fleet.cut ^= {host.name}
            case 'lose':
                self.store.lose_answers += 1
            case 'down':
                self.store.down = not self.store.down
            case 'copy':
                self.copy = dict(self.store.objects)
            case 'restore':
                self.store.restore(self.copy)
                stored = self.stored()
                self.holders = stored.holders() if stored else set()
            case 'epoch':
                await self.advance_epoch(host, random=Random(amount))
            case 'totals':
                self.slots = 1 + amount % 6
                await self.advance_epoch(host, random=Random(amount))
        self.check()

    async def borrow(self, host, lender, amount):
        if not host.ledger.listed or host is lender or lender.name in self.fleet.gone:
            return
        request = ShareRequest(
            region=REGION,
            epoch=host.ledger.epoch,
            borrower=host.ledger.holder,
            amount_by_resource={SLOTS: amount},
        )
        # The request arrives; the reply may be lost, delayed or duplicated.
        self.hub.deliver(host.name, lender.name, request)
        await lender.lending.send_replies()

    async def advance_epoch(self, silent, *, random):
        """Advance to a new epoch with one host silent, while others continue to borrow."""
        self.link_mbit_s += 1
        self.declare()
        await asyncio.sleep(11)
        for _ in range(12):
            for _ in range(3):
                host, lender = random.sample(list(self.hosts.values()), 2)
                await self.borrow(host, lender, random.randrange(6000))
                if self.hub.pending:
                    await self.deliver(random.randrange(99), is_duplicated=random.random() < 0.5)
                self.check()
            await self.round(silent=silent if random.random() < 0.9 else None)
            self.check()

    async def deliver(self, index, *, is_duplicated):
        position = index % len(self.hub.pending)
        sender, receiver, message = self.hub.pending[position]
        if not is_duplicated:
            self.hub.pending.pop(position)
        await self.deliver_message(sender, receiver, message)

    async def deliver_message(self, sender, receiver, message):
        if receiver not in self.fleet.gone:
            self.hub.deliver(sender, receiver, message)
            await self.hosts[receiver].lending.send_replies()

    async def step(self, host, *, yields):
        if host.name in self.fleet.gone:
            return
        if host.task is None or host.task.done():
            host.task = asyncio.create_task(host.epochs.try_step())
        for _ in range(yields):
            await asyncio.sleep(0)

    def resume(self, host):
        event = self.store.resume.pop(host.name, None)
        if event:
            event.set()

    async def recover(self, *, rounds=120):
        """End all faults and run enough rounds for the coordinators to finish."""
        self.store.down = False
        self.store.lose_answers = 0
        self.fleet.cut.clear()
        for host in self.hosts.values():
            self.resume(host)
        for _ in range(rounds):
            await self.round(silent=None)
            self.check()

    async def round(self, *, silent):
        """Run one step of all hosts but ``silent`` and deliver the pending messages.

        Messages to ``silent`` are lost, except loans, which stay pending while a host is silent.
        """
        await asyncio.sleep(0.5)
        for host in self.hosts.values():
            if host is not silent:
                await self.step(host, yields=5)
        pending, self.hub.pending = self.hub.pending, []
        for sender, receiver, message in pending:
            if type(message) is ShareGiven and silent is not None:
                self.hub.pending.append((sender, receiver, message))
            elif silent is None or receiver != silent.name:
                await self.deliver_message(sender, receiver, message)

    async def run_operations(self, operations):
        await self.recover(rounds=10)
        for operation in operations:
            await self.apply(operation)
        await self.recover(rounds=60)
        # One more epoch reassigns the share that was lost in transit.
        self.link_mbit_s += 1
        self.declare()
        await self.recover(rounds=60)
