"""Costs of membership and record dissemination, on the in-memory network in virtual time.

Run with ``python -m benchmarks.dissemination``, which prints one JSON line per figure. Bytes are
those of the real codec without TCP and IP headers. The one-way delay is 20 ms, without loss.
"""

import asyncio
import sys
from collections.abc import Iterator

from benchmarks.figure import Figure
from benchmarks.report import report
from features.steps.memory_fleet import MemoryFleet, make_record, wait_until
from features.steps.virtual_time import run_virtual

SIZES = (9, 30, 90, 300)
REGIONS = 10
RESOURCES = 6
DELAY_S = 0.02
REACH_BOUND_S = 8
HEARTBEAT_BOUND_BYTES_PER_S = 3_000
# 3 s of silence, up to 1 s until the next check, 1.5 s for the second connection, 5 s of suspicion,
# up to 1 s until the next check, and the flood.
DETECTION_BOUND_S = 13


def make_status(host):
    status = host.network.status()
    status.epoch_by_region.update({f'region-number-{n}': 1000 for n in range(REGIONS)})
    status.spare_by_resource.update({f'slots/service/region{n}': 2000 for n in range(RESOURCES)})
    return status


def measure_change(size: int, *, declaration_bytes: int = 20_000) -> dict[str, float]:
    """Return the cost and duration of the dissemination of a small change to ``size`` hosts."""
    return run_virtual(_measure_change(size, declaration_bytes))


def measure_idle(size: int) -> dict[str, float]:
    """Return the heartbeat and control bytes per second of an idle host."""
    return run_virtual(_measure_idle(size))


def measure_detection(size: int) -> dict[str, float]:
    """Return the time until all hosts consider a host that lost power as gone."""
    return run_virtual(_measure_detection(size))


async def _begin(size):
    fleet = MemoryFleet(size=size, delay_s=DELAY_S, count_bytes=True)
    for host in fleet.hosts:
        status = make_status(host)

        def make_record_status(host=host, status=status):
            return type(status)(
                record_number=host.tracker.number,
                epoch_by_region=status.epoch_by_region,
                spare_by_resource=status.spare_by_resource,
            )

        host.network.status = make_record_status
    fleet.start()
    await asyncio.sleep(10)
    return fleet


async def _end(fleet):
    fleet.stop()
    await asyncio.sleep(1)


def _make_large_record(number, declaration_bytes):
    record = make_record(number)
    services = {f'service-{n}': {'weight': 1} for n in range(declaration_bytes // 28)}
    services['service-0']['weight'] = number
    record['accepted']['text'] = {'services': services}
    return record


async def _measure_change(size, declaration_bytes):
    fleet = await _begin(size)
    fleet.store.put(_make_large_record(1, declaration_bytes))
    await asyncio.sleep(20)
    fleet.network.sent.clear()
    fleet.network.bytes_by_kind.clear()
    loop = asyncio.get_running_loop()
    reached_at = []
    for host in fleet.hosts:
        host.tracker.subscribe(lambda: reached_at.append(loop.time()))
    started_at = loop.time()
    fleet.store.put(_make_large_record(2, declaration_bytes))
    await wait_until(lambda: len(reached_at) == size, 60)
    await asyncio.sleep(1)
    kinds = [kind for kind in fleet.network.sent if kind.startswith('Record')]
    figures = {
        'change_messages': sum(fleet.network.sent[kind] for kind in kinds),
        'change_bytes': sum(fleet.network.bytes_by_kind[kind] for kind in kinds),
        'change_reach_s': max(reached_at) - started_at,
        # Each hop from a watcher is an announcement, a request and a response of known delay.
        'change_hops': round((max(reached_at) - min(reached_at)) / (3 * DELAY_S)),
    }
    await _end(fleet)
    return figures


async def _measure_idle(size):
    fleet = await _begin(size)
    fleet.network.bytes_by_kind.clear()
    seconds = 30
    await asyncio.sleep(seconds)
    sent = fleet.network.bytes_by_kind
    heartbeats = sent['Heartbeat'] + sent['HeartbeatAck']
    figures = {
        'heartbeat_bytes_per_s': heartbeats / size / seconds,
        'control_bytes_per_s': sum(sent.values()) / size / seconds,
        'streams_per_host': len(fleet.network.streams) / size,
    }
    await _end(fleet)
    return figures


async def _measure_detection(size):
    fleet = await _begin(size)
    victim = fleet.hosts[size // 2]
    victim.pause()
    fleet.network.group_by_address[victim.address] = 'off'
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    others = [host for host in fleet.hosts if host is not victim]
    await wait_until(lambda: all(h.state_of(victim.name) == 'gone' for h in others), 60)
    figures = {'detection_s': loop.time() - started_at}
    await _end(fleet)
    return figures


BOUND_BY_FIGURE = {
    'change_reach_s': REACH_BOUND_S,
    'heartbeat_bytes_per_s': HEARTBEAT_BOUND_BYTES_PER_S,
    'control_bytes_per_s': HEARTBEAT_BOUND_BYTES_PER_S,
    'detection_s': DETECTION_BOUND_S,
}
UNIT_BY_SUFFIX = {'bytes_per_s': 'B/s', 'bytes': 'B', 's': 's', 'messages': '1', 'hops': '1'}


def _unit(name):
    return next((unit for end, unit in UNIT_BY_SUFFIX.items() if name.endswith(f'_{end}')), '1')


def measure(size: int) -> dict[str, float]:
    """Return all figures of a fleet of ``size`` hosts by name."""
    return {**measure_change(size), **measure_idle(size), **measure_detection(size)}


def run() -> Iterator[Figure]:
    """Yield the figures of each fleet size."""
    for size in SIZES:
        for name, value in measure(size).items():
            yield Figure(
                name=f'dissemination.{name}.{size}_hosts',
                value=value,
                unit=_unit(name),
                bound=BOUND_BY_FIGURE.get(name),
            )


if __name__ == '__main__':
    sys.exit(report(run()))
