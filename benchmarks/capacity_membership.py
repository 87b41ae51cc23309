"""Scaling of membership and change dissemination, mostly in virtual time."""

import asyncio
import time
from typing import Any

from balsamrail.membership.rings import Rings
from balsamrail.messages import Heartbeat, encode_message
from balsamrail.messages.codec import FrameReader
from benchmarks import dissemination
from benchmarks.capacity_model import environment_for, fleet_members, listed_hosts
from benchmarks.measure import kept_bytes, processor_us
from benchmarks.slope import Slope, fit_slope, measure_slope
from features.steps.memory_fleet import MemoryFleet
from features.steps.virtual_time import run_virtual

FLEETS = (18, 36, 72, 144)
HOSTS = (115, 230, 460, 920)
ZONES = (2, 4, 8, 16)
CHANGES = (0, 20, 40, 80)
_WATCH_S = 120
_UNIT_BY_FIGURE = {
    'heartbeat_bytes_per_s': 'B/s/host',
    'control_bytes_per_s': 'B/s/host',
    'detection_s': 's/host',
    'change_messages': '1/host',
    'change_bytes': 'B/host',
    'change_reach_s': 's/host',
}


async def _table_bytes(hosts: int) -> int:
    environment = environment_for('host-0')
    return kept_bytes(lambda: fleet_members(environment, hosts=hosts))


async def _tick_us(hosts: int) -> float:
    members = fleet_members(environment_for('host-0'), hosts=hosts)
    return processor_us(members.tick, rounds=10, repeats=5)


async def _list_us(hosts: int) -> float:
    members = fleet_members(environment_for('host-0'), hosts=hosts)
    listed = listed_hosts(hosts)
    return processor_us(lambda: members.host_list.update(listed), rounds=10, repeats=5)


def _rings_us(hosts: int) -> float:
    rings = Rings(local_host='host-0')
    names = [f'host-{number}' for number in range(1, hosts)]
    return processor_us(lambda: rings.neighbours(names), rounds=10, repeats=5)


def _heartbeats_us(regions: int) -> float:
    beat = Heartbeat(
        sequence=1,
        record_number=1,
        epoch_by_region={f'region-{number}': 1_000 for number in range(regions)},
        spare_by_resource={f'slots/service-{number}/region-0': 2_000 for number in range(4)},
    )
    reader = FrameReader()
    return processor_us(lambda: list(reader.feed(encode_message(beat))), rounds=200)


async def _watch_calls(*, hosts: int, zones: int = 6, changes: int = 0) -> float:
    """Return the watch calls per second of a fleet during which ``changes`` occur."""

    class Fleet(MemoryFleet):
        def zone_of(self, number: int) -> str:
            return f'region{number % zones}-a'

    fleet = Fleet(size=hosts, delay_s=0.02)
    calls = 0
    watch = fleet.store.watch

    async def counted(name: str, *, version: int) -> Any:
        nonlocal calls
        calls += 1
        return await watch(name, version=version)

    fleet.store.watch = counted
    fleet.start()
    fleet.store.put(dissemination.make_record(1))
    await asyncio.sleep(40)
    calls = 0
    for number in range(changes):
        fleet.store.put(dissemination.make_record(number + 2))
        await asyncio.sleep(_WATCH_S / changes)
    if not changes:
        await asyncio.sleep(_WATCH_S)
    fleet.stop()
    counted_calls = calls
    await asyncio.sleep(1)
    return counted_calls / _WATCH_S


def _fleet_slopes() -> list[Slope]:
    measured = []
    processor = []
    for size in FLEETS:
        started = time.process_time()
        measured.append(dissemination.measure_idle(size))
        # 10 s of settling and 30 s of measurement, including the in-memory network.
        processor.append((time.process_time() - started) * 1_000_000 / size / 40)
        measured[-1] |= dissemination.measure_change(size) | dissemination.measure_detection(size)
    fits = [
        fit_slope(
            name=f'membership.{name} against hosts',
            unit=unit,
            sizes=FLEETS,
            measured=[figures[name] for figures in measured],
        )
        for name, unit in _UNIT_BY_FIGURE.items()
    ]
    return [
        *fits,
        fit_slope(
            name='membership.processor_us_per_host_and_s against hosts',
            unit='us/s/host',
            sizes=FLEETS,
            measured=processor,
        ),
    ]


def slopes() -> list[Slope]:
    """Return the fitted slopes."""

    def fit(name: str, unit: str, sizes: tuple[int, ...], measure: Any) -> Slope:
        def value_of(size: int) -> float:
            value = measure(size)
            return run_virtual(value) if asyncio.iscoroutine(value) else value

        return measure_slope(name, unit=unit, sizes=sizes, measure=value_of)

    return [
        *_fleet_slopes(),
        fit('membership.table_bytes against hosts', 'B/host', HOSTS, _table_bytes),
        fit('membership.tick_us against hosts', 'us/host', HOSTS, _tick_us),
        fit('membership.rings_us against hosts', 'us/host', HOSTS, _rings_us),
        fit('membership.host_list_us against hosts', 'us/host', HOSTS, _list_us),
        fit(
            'membership.heartbeat_us against regions', 'us/region', (5, 10, 20, 40), _heartbeats_us
        ),
        fit(
            'watchers.calls_per_s against zones',
            'calls/s/zone',
            ZONES,
            lambda zones: _watch_calls(hosts=48, zones=zones),
        ),
        fit(
            'watchers.calls_per_s against hosts',
            'calls/s/host',
            FLEETS,
            lambda hosts: _watch_calls(hosts=hosts),
        ),
        fit(
            'watchers.calls_per_s against changes in 120 s',
            'calls/s/change',
            CHANGES,
            lambda changes: _watch_calls(hosts=18, changes=changes),
        ),
    ]
