"""Fakes of the dependencies of steering: store, network, members and tracker."""

import asyncio
import io
import json
import zlib
from dataclasses import dataclass, field

from platform_helpers import make_member, make_settings

from balsamrail.clock import Clock
from balsamrail.configuration import load_declaration
from balsamrail.environment import Environment
from balsamrail.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.logs import Log
from balsamrail.membership.member import Member
from balsamrail.store import StoredObject, StoreEra
from balsamrail.store.versions import join_version, split_version

REGIONS = ('attiki', 'makedonia', 'peloponnisos')


def make_declaration(*, slots=4, targets=4, regions=REGIONS, link_mbit_s=280, **service):
    """Return a declaration of a service 'diary' with ``targets`` targets in each region."""
    places = [(number, index) for number in range(len(regions)) for index in range(targets)]
    document = {
        'deployment': 'selokosmos',
        'regions': {name: {'availability_zones': [f'{name}-a']} for name in regions},
        'links': [
            {'between': [one, two], 'capacity_mbit_s': link_mbit_s, 'delay_ms': 12}
            for one in regions
            for two in regions
            if one < two
        ],
        'services': {
            'diary': {
                'targets': [
                    {
                        'address': f'10.0.{number}.{index + 1}:80',
                        'availability_zone': f'{regions[number]}-a',
                        'slots': slots,
                    }
                    for number, index in places
                ],
                **service,
            },
        },
    }
    return load_declaration(json.dumps(document))


def make_environment(host, *, region):
    settings = make_settings(host=host, region=region, availability_zone=f'{region}-a')
    # The clock and the incarnation are fixed, so that failures are reproducible.
    return Environment(
        settings=settings,
        clock=Clock(wall=1_800_000_000),
        log=Log(host=host, output=io.StringIO()),
        incarnation=f'{1_800_000_000_000:012x}{zlib.crc32(host.encode()):08x}',
    )


class FakeTracker:
    def __init__(self, declaration):
        self.declaration = declaration
        self._changed = []

    def accepted(self):
        return self.declaration

    def subscribe(self, changed):
        self._changed.append(changed)

    def change(self, declaration):
        self.declaration = declaration
        for changed in self._changed:
            changed()


@dataclass
class Fleet:
    """State that all hosts see; ``gone`` hosts are proved gone, ``cut`` ones only silent."""

    members: dict[str, Member] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    cut: set[str] = field(default_factory=set)
    leaving_addresses: set[str] = field(default_factory=set)

    def add(self, environment):
        settings = environment.settings
        self.members[settings.host] = make_member(
            settings.host,
            incarnation=environment.incarnation,
            region=settings.region,
            availability_zone=settings.availability_zone,
        )


class FakeMembers:
    grace_period_s = 60

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    def alive(self):
        away = self._fleet.gone | self._fleet.cut
        return [member for member in self._fleet.members.values() if member.host not in away]

    def local_member(self):
        return self._fleet.members[self._host]

    def is_proven_gone(self, holder):
        return holder.split('@')[0] in self._fleet.gone

    def is_listed_as_leaving(self, address):
        return address in self._fleet.leaving_addresses


class FakeNetwork:
    """Passes messages to the hub, where they may be lost, delayed or delivered twice."""

    def __init__(self, hub, host):
        self._hub = hub
        self._host = host
        self.receivers = {}
        hub.networks[host] = self

    async def send(self, host, message):
        self._hub.post(self._host, host, message)
        return True

    def flood(self, message, *, topic, version):
        for host in self._hub.networks:
            if host != self._host:
                self._hub.post(self._host, host, message)

    def subscribe(self, kind, receive):
        self.receivers.setdefault(kind, []).append(receive)


class Hub:
    """Connects all networks. With ``delay_s`` messages are delivered automatically."""

    def __init__(self, *, delay_s=None):
        self.networks = {}
        self.pending = []
        self.delay_s = delay_s
        self.lost = lambda sender, receiver, message: False
        self.count = 0
        self.held_by_paused = {}

    def post(self, sender, receiver, message):
        self.count += 1
        if self.delay_s is None:
            self.pending.append((sender, receiver, message))
        elif not self.lost(sender, receiver, message):
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_s, self.deliver, sender, receiver, message)

    def deliver(self, sender, receiver, message):
        if receiver in self.held_by_paused:
            self.held_by_paused[receiver].append((sender, receiver, message))
            return
        for receive in self.networks[receiver].receivers.get(type(message), []):
            receive(sender, message)


class FakeStore:
    """Conditional writes with outages, lost responses and writers paused during a write."""

    def __init__(self):
        self.objects = {}
        self.down = False
        self.lose_answers = 0
        self.resume = {}
        self.written = lambda value: None
        self.era = StoreEra()

    def restore(self, objects):
        """Come back from a copy of ``objects`` in a new era."""
        self.era = StoreEra(number=self.era.number + 1)
        self.objects = {
            name: (join_version(era=self.era.number, number=split_version(version)[1]), value)
            for name, (version, value) in objects.items()
        }

    async def read(self, name):
        if self.down:
            raise StoreUnavailableError('down')
        version, value = self.objects.get(name, (0, None))
        return StoredObject(name=name, version=version, value=value) if version else None

    async def write(self, name, *, value, version, writer=''):
        if writer in self.resume:
            await self.resume[writer].wait()
        if self.down:
            raise StoreUnavailableError('down')
        absent_version = join_version(era=self.era.number, number=0)
        current = self.objects.get(name, (absent_version, None))[0]
        if current != version:
            raise StoreConflictError(name=name, version=current)
        self.objects[name] = (version + 1, json.loads(json.dumps(value)))
        self.written(value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreOutcomeUnknownError('answer lost')
        return version + 1


class WriterStore:
    """The store with the identity of the calling host."""

    def __init__(self, store, host):
        self._store = store
        self._host = host
        self.read = store.read

    @property
    def era(self):
        return self._store.era

    async def write(self, name, *, value, version):
        return await self._store.write(name, value=value, version=version, writer=self._host)
