"""The store, hosts and targets of a run."""

import asyncio
import contextlib
import itertools
import os
import random
from pathlib import Path
from typing import Any

from standins.platform_store import PlatformStore
from tools.soak.callers import NAME
from tools.soak.customers import NAMES, Customers
from tools.soak.history import History
from tools.soak.http_head import get
from tools.soak.soak_host import SoakHost
from tools.soak.soak_target import SoakTarget

REGION_BY_ZONE = {
    'north-a': 'north',
    'north-b': 'north',
    'south-a': 'south',
    'south-b': 'south',
}
_SERVICES = ('reads', 'others', 'books')
_READY_S = 20.0
_RECENT_ARRIVALS = 100
ROUTE_TIMEOUT_S = 1.5
_LIMITS = {
    'maxHeaderBytes': 8_000,
    'maxBodyBytes': 100_000,
    'headerTimeoutS': 3,
    'idleTimeoutS': 9,
}


class Deployment:
    """Creates and owns the processes and servers of a run.

    ``faults`` collects failures that are not violations of a promise.

    :param hosts: number of entry hosts.
    :param has_customers: whether the manifest has customers, and callers their keys.
    """

    def __init__(
        self,
        *,
        folder: Path,
        hosts: int,
        random_source: random.Random,
        has_customers: bool = False,
    ) -> None:
        self.history = History()
        self.customers = Customers(
            names=NAMES if has_customers else (), periods=self.history.key_periods
        )
        self._key_by_customer = {name: self.customers.new_key() for name in self.customers.names}
        self._read_service = 'reads'
        self.faults: list[str] = []
        self.store = PlatformStore()
        self.zones = tuple(REGION_BY_ZONE)
        self._random = random_source
        self._versions = itertools.count(3, 2)
        self._numbers = itertools.count()
        self._busy: set[str] = set()
        network = f'127.{60 + os.getpid() % 150}.{os.getpid() // 150 % 250}'
        self.hosts = [
            SoakHost(
                name=f'{self.zones[number % 4]}-{number}',
                zone=self.zones[number % 4],
                number=f'{network}.{number + 1}',
                regions=REGION_BY_ZONE,
                folder=folder,
            )
            for number in range(hosts)
        ]
        self.targets: list[SoakTarget] = []

    async def start(self) -> None:
        """Start the store, the targets and the hosts, and wait until all are ready."""
        await self.store.start()
        self.change_manifest(self._read_service)
        for service in _SERVICES:
            for zone in self.zones:
                await self._add_target(service, zone)
        seeds = [host.peer_address for host in self.hosts[:3]]
        for host in self.hosts:
            await host.prepare(store_address=self.store.address, seeds=seeds)
            host.start()
        for host in self.hosts:
            await self.wait_until_ready(host)

    async def stop(self) -> None:
        """Stop all hosts, targets and the store."""
        for host in self.hosts:
            host.end()
        for target in self.targets:
            target.stop()
        await self.store.stop()

    async def wait_until_ready(self, host: SoakHost) -> None:
        """Wait until a host is ready; record a fault if it does not become ready in time."""
        end = asyncio.get_running_loop().time() + _READY_S
        while asyncio.get_running_loop().time() < end:
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                head, _ = await get(host.readiness_address, '/balsamrail/readyz', timeout_s=1)
                host.is_ready = head.start[1] == '200'
            if host.is_ready:
                return
            if not host.is_running():
                self.faults.append(f'{host.name} ended with {await host.wait(0)} as it started')
                return
            await asyncio.sleep(0.05)
        if self.store.mode == 'up':
            self.faults.append(f'{host.name} was not ready within {_READY_S} s')

    def change_manifest(self, service: str) -> None:
        """Write a manifest that routes reads to a service."""
        self._read_service = service
        entries = self.customers.entries(self._key_by_customer)
        self.store.put('config', 'main', _manifest(next(self._versions), service, entries))
        now = asyncio.get_running_loop().time()
        self.history.manifests.append((now, service))
        self.customers.note_keys(self._key_by_customer, now=now)

    def replace_key(self, customer: str) -> None:
        """Write a manifest in which a customer has a new key instead of its present one."""
        self._key_by_customer[customer] = self.customers.new_key()
        self.change_manifest(self._read_service)

    def free_target(
        self, random_source: random.Random, *, is_used: bool = False
    ) -> SoakTarget | None:
        """Reserve and return a target whose service has other free targets left.

        :param is_used: whether to prefer targets that recently received requests.
        """
        free = [
            target
            for target in self.targets
            if target.target_id not in self._busy
            and sum(
                other.service == target.service and other.target_id not in self._busy
                for other in self.targets
            )
            > 2
        ]
        if not free:
            return None
        chosen = random_source.choice(self.used(free) if is_used else free)
        self._busy.add(chosen.target_id)
        return chosen

    def used(self, targets: list[SoakTarget]) -> list[SoakTarget]:
        """Return the targets that recently received requests, or all if there are none."""
        starts = {arrival.start for arrival in self.history.arrivals[-_RECENT_ARRIVALS:]}
        return [target for target in targets if target.start_name in starts] or targets

    def release(self, target: SoakTarget) -> None:
        """Release a reserved target."""
        self._busy.discard(target.target_id)

    async def replace_target(self, gone: SoakTarget) -> None:
        """Assign the address of a stopped target to a new target of another service."""
        others = [service for service in _SERVICES if service != gone.service]
        new = self._make_target(self._random.choice(others), gone.zone)
        new.proxy = gone.proxy
        await new.resume()
        self.targets.remove(gone)
        self.targets.append(new)
        await self._add_target(gone.service, gone.zone)

    async def _add_target(self, service: str, zone: str) -> None:
        target = self._make_target(service, zone)
        await target.start()
        self.targets.append(target)

    def _make_target(self, service: str, zone: str) -> SoakTarget:
        return SoakTarget(
            target_id=f'i-{next(self._numbers)}',
            service=service,
            zone=zone,
            store=self.store,
            history=self.history,
            random_source=self._random,
        )


def _manifest(version: int, service: str, customers: list[dict[str, Any]]) -> dict[str, Any]:
    services = [
        _resource('services', name, {'healthPath': '/health', 'maxConnections': 200})
        for name in _SERVICES
    ]
    reads = _route('read', 'idempotent', service)
    books = _route('book', 'non_idempotent', 'books')
    limits = _resource('limits', 'limits', _LIMITS)
    return {'version': version, 'resources': [reads, books, limits, *services, *customers]}


def _route(kind: str, repeats: str, service: str) -> dict[str, Any]:
    spec = {
        'host': NAME,
        'pathPrefix': f'/{kind}/',
        'kind': repeats,
        'timeoutS': ROUTE_TIMEOUT_S,
        'maxAttempts': 3,
        'sticky': True,
        'service': service,
    }
    return _resource('routes', kind, spec)


def _resource(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {'entryKind': kind, 'metadata': {'name': name}, 'spec': spec}
