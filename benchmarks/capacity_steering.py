"""Scaling of steering: shares, target pickers, ticks and the ``shares/<region>`` objects."""

import asyncio
import json
import random
from types import SimpleNamespace
from typing import Any

from balsamrail.configuration import Route
from balsamrail.steering import AttemptResult, Router
from balsamrail.steering.epoch_transitions import first_epoch
from balsamrail.steering.resources import resource_totals
from balsamrail.steering.share_epoch import ShareEpoch, decode_epoch, encode_epoch
from balsamrail.steering.share_ledger import ShareLedger
from balsamrail.steering.target_picker import TargetPicker
from benchmarks.capacity_model import declaration_with, environment_for, fleet_members
from benchmarks.measure import kept_bytes, processor_us
from benchmarks.slope import Slope, measure_slope
from standins.memory_store import MemoryStore

HOSTS = (115, 230, 460, 920)
TARGETS = (100, 200, 400, 800)
RESOURCES = (50, 100, 200, 400)
_HOLDER = 'host-0@01a2b3c4d5e6f7a8b9c0'


def make_router(*, hosts: int, targets: int) -> Router:
    """Return a router whose messages are discarded; requires a running event loop."""
    environment = environment_for('host-0')
    declaration = declaration_with(targets=targets)
    network: Any = SimpleNamespace(
        send=_send, flood=lambda message, **topic: None, subscribe=lambda kind, receive: None
    )
    tracker: Any = SimpleNamespace(
        accepted=lambda: declaration, subscribe=lambda changed: None, number=1
    )
    return Router(
        environment=environment,
        tracker=tracker,
        members=fleet_members(environment, hosts=hosts),
        network=network,
        store=MemoryStore(delay_s=0),
        random=random.Random(1),
    )


async def _send(host: str, message: Any) -> bool:
    return True


def make_epoch(hosts: int) -> ShareEpoch:
    """Return the first share epoch of one of ten regions."""
    declaration = declaration_with(targets=1_000)
    holders = [f'host-{number}@{number:020x}' for number in range(hosts)]
    return first_epoch(
        resource_totals(declaration, region='region-0'),
        local=holders[: hosts // 10],
        remote=holders[hosts // 10 :],
    )


def _object_bytes(hosts: int) -> int:
    return len(json.dumps(encode_epoch(make_epoch(hosts)), separators=(',', ':')))


def _decode_us(hosts: int) -> float:
    value = encode_epoch(make_epoch(hosts))
    return processor_us(lambda: decode_epoch(value), rounds=3, repeats=5)


def _ledger_bytes(resources: int) -> int:
    base = {f'slots/service-{number}/region-0': 1_000 + number for number in range(resources)}

    def build() -> ShareLedger:
        ledger = ShareLedger(region='region-0', holder=_HOLDER)
        ledger.adopt(1, base=dict(base), unsealed=False)
        ledger.acquire(base)
        ledger.rotate_peaks()
        ledger.acquire(base)
        return ledger

    return kept_bytes(build)


def _counters_bytes(peers: int) -> int:
    def build() -> ShareLedger:
        ledger = ShareLedger(region='region-0', holder=_HOLDER)
        ledger.adopt(1, base={'slots/service-0/region-0': 1_000_000}, unsealed=False)
        for number in range(peers):
            ledger.lend(borrower=f'host-{number}@{1:020x}', amounts={'slots/s': 1_000})
        return ledger

    return kept_bytes(build)


def _picker_bytes(targets: int) -> int:
    listed = declaration_with(targets=targets).services.values()
    wanted = [target for service in listed for target in service.targets]

    def build() -> TargetPicker:
        picker = TargetPicker(random=random.Random(1), slow_start_s=0)
        picker.update(wanted, now=0, slow_start_s=0)
        return picker

    return kept_bytes(build)


async def _router_bytes(targets: int) -> int:
    return kept_bytes(lambda: make_router(hosts=9, targets=targets))


async def tick_us(*, hosts: int, targets: int) -> float:
    router = make_router(hosts=hosts, targets=targets)
    return processor_us(router.step, rounds=10, repeats=5)


async def _steward_us(hosts: int) -> float:
    router = make_router(hosts=hosts, targets=100)
    epochs = router.epochs._add_region('region-0')
    return processor_us(epochs._coordinator.host, rounds=20, repeats=5)


async def _admit_us(*, hosts: int, targets: int) -> float:
    router = make_router(hosts=hosts, targets=targets)
    router.limiter.enabled = False
    declaration = declaration_with(targets=targets)
    route = Route(methods=['GET'], idempotent=True)
    router.step()

    def admit() -> None:
        admission = router.admit(service='service-0', declaration=declaration, route=route)
        admission.close(AttemptResult.ok)

    return processor_us(admit, rounds=30, repeats=5)


def slopes() -> list[Slope]:
    """Return the fitted slopes."""

    def fit(name: str, unit: str, sizes: tuple[int, ...], measure: Any) -> Slope:
        def value_of(size: int) -> float:
            value = measure(size)
            return asyncio.run(value) if asyncio.iscoroutine(value) else value

        return measure_slope(f'steering.{name}', unit=unit, sizes=sizes, measure=value_of)

    return [
        fit('ledger_bytes against resources', 'B/resource', RESOURCES, _ledger_bytes),
        fit('lending_counter_bytes against peers', 'B/peer', RESOURCES, _counters_bytes),
        fit('picker_bytes against targets', 'B/target', TARGETS, _picker_bytes),
        fit('router_bytes against targets', 'B/target', TARGETS, _router_bytes),
        fit(
            'tick_us against targets',
            'us/target',
            TARGETS,
            lambda size: tick_us(hosts=9, targets=size),
        ),
        fit(
            'tick_us against hosts',
            'us/host',
            HOSTS,
            lambda size: tick_us(hosts=size, targets=100),
        ),
        fit('steward_choice_us against hosts', 'us/host', HOSTS, _steward_us),
        fit(
            'admit_us against listed hosts',
            'us/host',
            HOSTS,
            lambda size: _admit_us(hosts=size, targets=400),
        ),
        fit(
            'admit_us against targets',
            'us/target',
            TARGETS,
            lambda size: _admit_us(hosts=9, targets=size),
        ),
        fit('share_object_bytes against hosts', 'B/host', HOSTS, _object_bytes),
        fit('share_object_decode_us against hosts', 'us/host', HOSTS, _decode_us),
    ]
