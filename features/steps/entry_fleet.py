"""Entry hosts in one process, with the stand-in platform store and scripted targets."""

import asyncio
import itertools
import os

import platform_helpers
from delivery_parts import response_to
from forwarding_parts import RawUpstream
from placement_parts import REGION_BY_ZONE
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from balsamrail.entry.entry_host import EntryHost
from balsamrail.settings import Limits, StoreSettings
from balsamrail.settings.bounds import Bounds
from standins.platform_store import PlatformStore

FLEET_NUMBERS = itertools.count()
HOST_NAME = 'lepu.example'
LIMITS = {
    'maxHeaderBytes': 2_000,
    'maxBodyBytes': 5_000,
    'headerTimeoutS': 3,
    'idleTimeoutS': 9,
}


def manifest(version, *, service='lepu'):
    services = [
        {
            'entryKind': 'services',
            'metadata': {'name': name},
            'spec': {'healthPath': '/health', 'maxConnections': 100},
        }
        for name in ('lepu', 'mora')
    ]
    route = {
        'host': HOST_NAME,
        'pathPrefix': '/read/',
        'kind': 'idempotent',
        'timeoutS': 2,
        'maxAttempts': 3,
        'service': service,
    }
    return {
        'version': version,
        'resources': [
            {'entryKind': 'routes', 'metadata': {'name': 'r'}, 'spec': route},
            {'entryKind': 'limits', 'metadata': {'name': 'l'}, 'spec': LIMITS},
            *services,
        ],
    }


class Target:
    """A registered target; ``arrivals`` holds the arrival time of each request.

    It names ``limit`` in its responses unless that is ``None``, and takes ``work_s`` for each.
    """

    def __init__(self, name, *, zone, service):
        self.name = name
        self.zone = zone
        self.service = service
        self.arrivals = []
        self.request_ids = []
        self.limit = None
        self.work_s = 0

    async def start(self, store):
        self.upstream = await RawUpstream(self._answer).start()
        self.store = store
        self.register('ready')

    def register(self, state):
        spec = {
            'service': self.service,
            'address': self.upstream.address,
            'zone': self.zone,
            'version': '1',
            'slots': 8,
            'state': state,
            'warmupLeftS': 0,
            'born': 1,
        }
        self.store.put('servers', self.name, spec)

    async def _answer(self, number, headers, writer):
        self.arrivals.append(asyncio.get_running_loop().time())
        self.request_ids.append(headers.get('x-request-id'))
        if self.work_s:
            await asyncio.sleep(self.work_s)
        named = {} if self.limit is None else {'Server_Limit': self.limit}
        writer.write(response_to(headers, self.service.encode(), **named))


class EntryFleet:
    """Entry hosts with targets and a store.

    :param settings: settings of all hosts besides those that the fleet determines.
    """

    def __init__(self, *, attiki, makedonia, **settings):
        self.settings = settings
        zones = ['attiki-a', 'attiki-b'] * attiki
        self.zone_by_host = {f'attiki-{n}': zones[n] for n in range(attiki)}
        self.zone_by_host.update({f'makedonia-{n}': 'makedonia-a' for n in range(makedonia)})
        self.hosts = {}
        self.tasks = {}
        self.failures = []
        self.answers = []

    async def start(self):
        await self.start_hosts()
        await self.until(lambda: all(host.status()['is_ready'] for host in self.hosts.values()))
        await self.until(self._has_converged)

    async def start_hosts(self, *, with_manifest=True):
        self.store = PlatformStore()
        await self.store.start()
        if with_manifest:
            self.store.put('config', 'main', manifest(3))
        self.targets = [
            Target(f'{service}-{zone}', zone=zone, service=service)
            for service in ('lepu', 'mora')
            for zone in ('attiki-a', 'attiki-b', 'makedonia-a')
        ]
        for target in self.targets:
            await target.start(self.store)
        # Ports outside the ephemeral range, since restarted hosts have to listen on them again.
        network = f'127.{40 + os.getpid() % 200}.{next(FLEET_NUMBERS) % 256}'
        self.addresses = {
            host: [f'{network}.{number}:{port}' for port in range(8_000, 8_005)]
            for number, host in enumerate(self.zone_by_host, start=1)
        }
        for host in self.zone_by_host:
            self.start_host(host)

    def start_host(self, host, *, set_back_ms=0):
        caller, ready, lookup, peer, operator = self.addresses[host]
        zone = self.zone_by_host[host]
        environment = platform_helpers.make_environment(
            host=host,
            region=REGION_BY_ZONE[zone],
            availability_zone=zone,
            region_by_availability_zone=REGION_BY_ZONE,
            caller_address=caller,
            readiness_address=ready,
            lookup_address=lookup,
            peer_address=peer,
            operator_address=operator,
            limits=Limits(heartbeat_s=0.5, suspect_after_s=1.5, gone_after_s=0.5),
            store=StoreSettings(address=self.store.address, timeout_s=1),
            seeds=[addresses[3] for addresses in list(self.addresses.values())[:3]],
            **{'bounds': Bounds(retry_slack=100), **self.settings},
        )
        started_ms, random_part = environment.incarnation[:12], environment.incarnation[12:]
        environment.incarnation = f'{int(started_ms, 16) - set_back_ms:012x}{random_part}'
        self.hosts[host] = EntryHost(environment=environment)
        self.tasks[host] = asyncio.create_task(self.hosts[host].run())

    async def kill(self, host):
        """Stop a host without a graceful shutdown."""
        self.tasks.pop(host).cancel()
        await self.hosts.pop(host).end()

    async def stop(self):
        for host in list(self.hosts):
            await self.kill(host)
        for target in self.targets:
            target.upstream.stop()
        await self.store.stop()

    async def get(self, address, path, **changes):
        request = HTTPRequest(f'http://{address}{path}', request_timeout=3, **changes)
        return await AsyncHTTPClient(force_instance=True).fetch(request, raise_error=False)

    async def look_up(self, host, region):
        path = f'/balsamrail/resolve?name={HOST_NAME}&region={region}&zone='
        found = await self.get(self.addresses[host][2], path)
        return found

    async def send(self, address, number):
        sent_at = asyncio.get_running_loop().time()
        headers = {'Host': HOST_NAME, 'X-Request-Id': f'r-{number}', 'X-Timeout-Ms': '2000'}
        response = await self.get(address, f'/read/{number}', headers=headers)
        if response.code == 200:
            self.answers.append((sent_at, response.body.decode()))
        else:
            self.failures.append((number, response.code, response.body))

    async def load(self, seconds, *, address_of=None):
        """Send 60 requests per second."""
        number, pending = 0, []
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            number += 1
            hosts = sorted(self.hosts)
            address = (
                address_of(number) if address_of else self.addresses[hosts[number % len(hosts)]][0]
            )
            pending.append(asyncio.create_task(self.send(address, number)))
            await asyncio.sleep(1 / 60)
        await asyncio.gather(*pending)

    async def until(self, holds, *, limit_s=8):
        async with asyncio.timeout(limit_s):
            while not holds():  # noqa: ASYNC110 - the hosts offer no event for becoming ready
                await asyncio.sleep(0.05)

    def _has_converged(self):
        count = len(self.zone_by_host)
        return all(
            len(host.members.advertised()) == count and len(host.catalog.entries_by_id) == 6
            for host in self.hosts.values()
        )
