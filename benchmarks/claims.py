"""Store writes and added latency of claims of caller-generated keys, in virtual time.

Nine hosts receive bookings with caller-generated keys at several rates. The store responds in
5 ms, and a message between hosts takes 5 ms, which is the delay between availability zones.
"""

import asyncio
import random
import sys
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import async_solipsism

from balsamrail.forwarding.claim_registry import ClaimRegistry
from balsamrail.metrics import Metrics
from benchmarks.figure import Figure
from benchmarks.report import report
from standins.memory_store import MemoryStore

_HOSTS = [f'host-{number}' for number in range(9)]
_RATES = (10, 100, 400, 1_000)
_DURATION_S = 5
_MESSAGE_DELAY_S = 0.005
_SEED = 1
# The store sustains several hundred writes per second for all uses together.
_MAX_WRITES_PER_S = 200


class _Network:
    def __init__(self, host: str, network_by_host: dict[str, '_Network']) -> None:
        self.host = host
        self.network_by_host = network_by_host
        self.receive_by_kind: dict[type, Callable[..., None]] = {}
        network_by_host[host] = self

    async def send(self, host: str, message: Any) -> bool:
        asyncio.get_running_loop().call_later(
            _MESSAGE_DELAY_S,
            self.network_by_host[host].receive_by_kind[type(message)],
            self.host,
            message,
        )
        return True

    def subscribe(self, kind: type, receive: Callable[..., None]) -> None:
        self.receive_by_kind[kind] = receive


def run() -> list[Figure]:
    """Return write rates and latencies of grouped claims and of one object per key."""
    figures = []
    for rate in _RATES:
        for grouped in (True, False):
            loop = async_solipsism.EventLoop()
            writes, latencies = loop.run_until_complete(
                _measure_bookings(rate=rate, grouped=grouped)
            )
            loop.close()
            label = f'claims.{"grouped" if grouped else "object_per_key"}.{rate}_per_s'
            figures.append(
                Figure(
                    name=f'{label}.writes_per_s',
                    value=writes / _DURATION_S,
                    unit='writes/s',
                    bound=_MAX_WRITES_PER_S if grouped else None,
                )
            )
            latencies.sort()
            for percent in (50, 99):
                latency_s = latencies[len(latencies) * percent // 100]
                name = f'{label}.added_latency_p{percent}'
                figures.append(Figure(name=name, value=latency_s * 1_000, unit='ms'))
    return figures


async def _measure_bookings(*, rate: int, grouped: bool) -> tuple[int, list[float]]:
    # The store applies the delay both before and after the effect of a call.
    store = MemoryStore(delay_s=0.0025)
    network_by_host: dict[str, _Network] = {}
    registries = [_make_registry(store, host, network_by_host) for host in _HOSTS]
    choose = random.Random(_SEED)
    loop = asyncio.get_running_loop()

    async def claim(number: int) -> float:
        await asyncio.sleep(choose.uniform(0, _DURATION_S))
        start = loop.time()
        if grouped:
            await choose.choice(registries).claim(f'key-{number}', expiry_wall_s=2e9)
        else:
            await store.write(f'claims/key-{number}', value='host-0@1', version=0)
        return loop.time() - start

    latencies = await asyncio.gather(*(claim(number) for number in range(rate * _DURATION_S)))
    return store.calls['write'], list(latencies)


def _make_registry(
    store: MemoryStore,
    host: str,
    network_by_host: dict[str, _Network],
) -> ClaimRegistry:
    loop = asyncio.get_running_loop()
    environment: Any = SimpleNamespace(
        settings=SimpleNamespace(host=host),
        holder=f'{host}@1',
        clock=SimpleNamespace(wall=lambda: 1e9 + loop.time(), monotonic=loop.time),
        metrics=Metrics(),
    )
    members: Any = SimpleNamespace(alive=lambda: [SimpleNamespace(host=name) for name in _HOSTS])
    network: Any = _Network(host, network_by_host)
    return ClaimRegistry(
        environment=environment,
        store=store,
        network=network,
        members=members,
    )


if __name__ == '__main__':
    sys.exit(report(run()))
