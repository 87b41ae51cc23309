"""Simulated fleet on the in-memory network: members, peer streams and record sync."""

import asyncio
import contextvars
import json
import random

import async_solipsism

from balsamrail.clock import Clock
from balsamrail.configuration.record_sync import RecordSync
from balsamrail.environment import Environment
from balsamrail.errors import HistoryGoneError, StoreConflictError, StoreUnavailableError
from balsamrail.exchange.crash_archive import CrashArchive
from balsamrail.exchange.crash_registry import CrashRegistry
from balsamrail.logs import Log
from balsamrail.membership import FailureDetector, HeartbeatStatus, Members, PeerNetwork
from balsamrail.membership.loss_record import LossRecord
from balsamrail.membership.updates import make_update
from balsamrail.settings import Limits, Settings, StoreSettings
from balsamrail.store import ListedHost, StoredObject, StoreEra
from balsamrail.store.versions import join_version, split_version
from features.steps.memory_network import CURRENT_GATE, Gate, MemoryNetwork, make_task

START_WALL_S = 1_700_000_000


class MemoryStore:
    """Store of one record and the host list.

    Calls fail while ``down`` is set and never return while ``hung`` is set.
    """

    def __init__(self):
        self.era = StoreEra()
        self.writes = []
        self.stored = None
        self.changed = asyncio.Event()
        self.down = False
        self.hung = False
        self.list_down = False
        self.calls = 0
        self.listed_by_host = {}
        self.losses = []
        self.crashes = {}
        self.crash_writes = 0

    def put(self, value):
        version = self.stored.version + 1 if self.stored else 1
        self.replace(StoredObject(name='record', version=version, value=value))

    def restore(self, copy):
        """Come back from an earlier ``stored`` object, or without one, in a new era."""
        self.era = StoreEra(number=self.era.number + 1)
        if copy is None:
            self.replace(None)
            return
        _, number = split_version(copy.version)
        version = join_version(era=self.era.number, number=number)
        self.replace(StoredObject(name='record', version=version, value=copy.value))

    def replace(self, stored):
        self.stored = stored
        self.changed.set()
        self.changed = asyncio.Event()

    async def _simulate_call(self):
        self.calls += 1
        if self.hung:
            await asyncio.sleep(1e6)
        await asyncio.sleep(0.01)
        if self.down:
            raise StoreUnavailableError('the store is down')

    async def read(self, name):
        await self._simulate_call()
        return self.stored

    async def write(self, name, *, value, version):
        await self._simulate_call()
        current = (
            self.stored.version if self.stored else join_version(era=self.era.number, number=0)
        )
        if version != current:
            raise StoreConflictError(name=name, version=current)
        self.writes.append(value)
        self.replace(StoredObject(name=name, version=version + 1, value=value))
        return version + 1

    async def watch(self, name, *, version):
        await self._simulate_call()
        if version and split_version(version)[0] != self.era.number:
            raise HistoryGoneError(f'version {version} is gone')
        if self.stored is None or self.stored.version == version:
            try:
                await asyncio.wait_for(self.changed.wait(), 30)
            except TimeoutError:
                return None
        if self.down:
            raise StoreUnavailableError('the store is down')
        if version and split_version(version)[0] != self.era.number:
            raise StoreUnavailableError('the watch ended when the store came back')
        return self.stored

    async def list_hosts(self):
        await self._simulate_call()
        if self.list_down:
            raise StoreUnavailableError('the list is down')
        return list(self.listed_by_host.values())

    async def read_losses(self):
        await self.list_hosts()
        return self.losses

    async def write_losses(self, losses, *, is_stale_allowed):
        await self.list_hosts()
        self.losses = losses


class HostStore:
    """The store as one host reaches it: every call fails while ``is_cut_off`` is set."""

    def __init__(self, *, store):
        self.store = store
        self.is_cut_off = False

    async def list_hosts(self):
        self._check()
        return await self.store.list_hosts()

    async def read_losses(self):
        self._check()
        return await self.store.read_losses()

    async def write_losses(self, losses, *, is_stale_allowed):
        self._check()
        await self.store.write_losses(losses, is_stale_allowed=is_stale_allowed)

    async def list_crashes(self):
        self._check()
        await self.store.list_hosts()
        return [report for reports in self.store.crashes.values() for report in reports]

    async def save_crashes(self, reports):
        self._check()
        await self.store.list_hosts()
        self.store.crash_writes += 1
        self.store.crashes[reports[0].fingerprint] = reports

    async def delete_crashes(self, fingerprint):
        self._check()
        self.store.crashes.pop(fingerprint, None)

    def _check(self):
        if self.is_cut_off:
            raise StoreUnavailableError('the store cannot be reached')


class MemoryTracker:
    """Tracks the record with the highest number, and the accepted numbers in order."""

    def __init__(self):
        self.record = None
        self.numbers = [0]
        self.changed = []

    @property
    def number(self):
        return self.numbers[-1]

    def offer(self, value, *, version):
        if value['number'] <= self.number:
            return False
        self.record = value
        self.numbers.append(value['number'])
        for changed in self.changed:
            changed()
        return True

    def subscribe(self, changed):
        self.changed.append(changed)


class LogLines:
    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines.append(text)


class MemoryHost:
    """A simulated host; ``options`` can disable protective mechanisms."""

    def __init__(self, *, fleet, name, number, options=None):
        options = options or {}
        self.name = name
        self.fleet = fleet
        self.address = f'10.{number // 65536}.{number // 256 % 256}.{number % 256}:7000'
        zone = fleet.zone_of(number)
        self.log = LogLines()
        settings = Settings(
            deployment='test',
            host=name,
            region=zone.rsplit('-', 1)[0],
            availability_zone=zone,
            caller_address=self.address.replace(':7000', ':80'),
            peer_address=self.address,
            operator_address=self.address.replace(':7000', ':81'),
            store=StoreSettings(address='10.255.255.255:1'),
            seeds=list(options.get('seeds', [])),
            limits=options.get('limits', Limits()),
        )
        log = Log(host=name, output=self.log)
        self.environment = fleet.make_environment(settings, log)
        self.store = HostStore(store=fleet.store)
        self.loss_record = LossRecord(environment=self.environment, source=self.store)
        self.members = Members(
            environment=self.environment,
            loss_record=self.loss_record if options.get('has_loss_record') else None,
            **options.get('members', {}),
        )
        self.gate = Gate()
        self.tracker = MemoryTracker()
        detector = FailureDetector(
            environment=self.environment,
            members=self.members,
            detect_pauses=options.get('detect_pauses', True),
        )
        self.network = PeerNetwork(
            environment=self.environment,
            members=self.members,
            store=self.store,
            transport=fleet.network.transport(self.address),
            detector=detector,
            replace_silent=options.get('replace_silent', True),
            compare_tables=options.get('compare_tables', True),
        )
        if options.get('heartbeat_number', True):
            self.network.status = lambda: HeartbeatStatus(record_number=self.tracker.number)
        self.crashes = CrashRegistry(environment=self.environment, network=self.network)
        self.crash_archive = CrashArchive(
            environment=self.environment, registry=self.crashes, source=self.store, limit=3
        )
        self.sync = RecordSync(
            environment=self.environment,
            tracker=self.tracker,
            store=fleet.store,
            network=self.network,
            members=self.members,
        )
        self.tasks = []

    def start(self):
        context = contextvars.copy_context()
        context.run(self._start)

    def _start(self):
        CURRENT_GATE.set(self.gate)
        self.fleet.network.listen(self.address, self.network.accept)
        self.tasks = [
            asyncio.create_task(self.network.run()),
            asyncio.create_task(self.sync.run()),
            asyncio.create_task(self.loss_record.run()),
            asyncio.create_task(self.crash_archive.run()),
        ]

    def kill(self):
        for task in self.tasks:
            task.cancel()
        self.fleet.network.kill(self.address)

    def pause(self):
        self.gate.open.clear()

    def resume(self):
        self.gate.open.set()

    def state_of(self, name):
        member = self.members.get(name)
        return member.state if member else 'unknown'


class MemoryFleet:
    """Hosts in three regions of two availability zones; all know each other by default."""

    def __init__(self, *, size, loss=0.0, seed=1, options=None, populate_table=True, **network):
        random.seed(seed)
        self.random = random.Random(seed)
        asyncio.get_running_loop().set_task_factory(make_task)
        self.network = MemoryNetwork(loss=loss, seed=seed, **network)
        self.store = MemoryStore()
        self.zones = [f'region{index // 2}-{"ab"[index % 2]}' for index in range(6)]
        self.options = options
        self.hosts = [
            MemoryHost(fleet=self, name=f'host-{index}', number=index, options=options)
            for index in range(size)
        ]
        for host in self.hosts:
            self.list_host(host)
        if populate_table:
            for host in self.hosts:
                self.populate_table(host)

    def make_environment(self, settings, log):
        """Create an environment that is reproducible for a given seed."""
        clock = Clock(wall=START_WALL_S + asyncio.get_running_loop().time())
        started = f'{int(clock.wall() * 1_000):012x}{self.random.getrandbits(32):08x}'
        return Environment(settings=settings, clock=clock, log=log, incarnation=started)

    def zone_of(self, number):
        return self.zones[number % len(self.zones)]

    def list_host(self, host, state='live'):
        entry = ListedHost(host=host.name, address=host.address, state=state)
        self.store.listed_by_host[host.name] = entry

    def populate_table(self, host):
        for other in self.hosts:
            host.members.apply(make_update(other.members.local_member(), observer=other.name))

    def start(self):
        for host in self.hosts:
            host.start()

    def stop(self):
        for host in self.hosts:
            host.resume()
            host.kill()

    def restart(self, index, options=None):
        old = self.hosts[index]
        old.kill()
        new = MemoryHost(fleet=self, name=old.name, number=index, options=options)
        self.hosts[index] = new
        new.start()
        return new


def make_record(number):
    return {
        'number': number,
        'accepted': {'revision': number, 'text': json.dumps({'n': number})},
        'candidate': None,
        'stopped': None,
        'mark': f'mark-{number}',
    }


def make_fleet(context, *, options=None, **arguments):
    """Start a fleet on a loop in virtual time, both for the rest of the scenario."""

    async def begin():
        context.fleet = MemoryFleet(seed=context.seed, options=options or {}, **arguments)
        context.fleet.start()

    async def end():
        context.fleet.stop()
        await asyncio.sleep(1)

    def stop():
        run(context, end())
        context.loop.close()

    context.loop = async_solipsism.EventLoop()
    context.stoppers = [stop]
    run(context, begin())


def run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


async def wait_until(condition, limit_s):
    deadline = asyncio.get_running_loop().time() + limit_s
    while not condition():
        assert asyncio.get_running_loop().time() < deadline, f'not within {limit_s} s'
        await asyncio.sleep(0.1)
