"""A single run of the soak test."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from tools.soak.callers import Caller
from tools.soak.deployment import REGION_BY_ZONE, Deployment
from tools.soak.faults import Faults
from tools.soak.host_watch import HostWatch
from tools.soak.promises import broken, outcomes, served_share

# Requests have to be served again within this time after the last fault.
_RECOVERY_S = 15.0
_CALM_S = 3.0
_SERVED = 0.95
# Requests that were sent within this time may still be in flight.
_LONGEST_S = 1.0
_CHECK_S = 1.0
_KEEPING_ONE_IN = 4


@dataclass(slots=True, kw_only=True)
class Report:
    """The result of a run.

    :param broken: one line for each broken promise or other failure.
    :param peak_mb: peak memory of a host.
    :param wait_s: longest wait of a host or of this process for a processor core.
    """

    seed: int
    broken: list[str]
    outcomes: dict[str, int]
    faults: dict[str, int] = field(default_factory=dict)
    peak_mb: float = 0
    wait_s: float = 0

    def line(self) -> str:
        """Return the report in one line."""
        verdict = 'broken' if self.broken else 'ok'
        return (
            f'seed {self.seed}: {verdict}, {self.outcomes}, faults {self.faults}, '
            f'peak {self.peak_mb:.0f} MB, longest wait {self.wait_s:.2f} s'
        )


async def run_seed(
    *,
    seed: int,
    folder: Path,
    seconds: float,
    hosts: int,
    callers: int,
    behaviours: frozenset[str] = frozenset(),
) -> Report:
    """Execute the run of a seed and write host logs to ``folder``.

    :param behaviours: additional kinds of faults from :data:`tools.soak.behaviours.BEHAVIOURS`.
    """
    deployment = Deployment(
        folder=folder,
        hosts=hosts,
        random_source=random.Random(seed + 1),
        has_customers='customers' in behaviours,
    )
    fault_random = random.Random(seed)
    faults = Faults(deployment=deployment, random_source=fault_random, behaviours=behaviours)
    watch = HostWatch(deployment=deployment)
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        tasks = _start_callers(deployment, callers, seed)
        tasks.append(asyncio.create_task(watch.run()))
        await asyncio.sleep(_CALM_S)
        playing = asyncio.create_task(faults.run(seconds))
        while not playing.done():
            await asyncio.wait([playing], timeout=_CHECK_S)
            if broken(deployment.history):
                break
        else:
            await playing
            await _check_recovery(deployment)
        playing.cancel()
    finally:
        for task in tasks:
            if task.done():
                deployment.faults.append(f'a soak task ended unexpectedly: {task.exception()!r}')
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()
    return Report(
        seed=seed,
        broken=[*broken(deployment.history), *deployment.faults],
        outcomes=outcomes(deployment.history),
        faults=dict(Counter(faults.injected)),
        peak_mb=max(watch.peak_mb_by_host.values(), default=0),
        wait_s=max((wait_s for _, _, wait_s in deployment.history.waits), default=0),
    )


def _start_callers(deployment: Deployment, count: int, seed: int) -> list[asyncio.Task[None]]:
    host_by_address = {host.caller_address: host.name for host in deployment.hosts}
    regions = sorted(set(REGION_BY_ZONE.values()))
    names = deployment.customers.names or ('',)
    callers = [
        Caller(
            history=deployment.history,
            random_source=random.Random(seed * 1_000 + number),
            region=regions[number % len(regions)],
            keeps_connection=number % _KEEPING_ONE_IN == 0,
            lookup_addresses=lambda: [host.lookup_address for host in deployment.hosts],
            host_of=lambda address: host_by_address.get(address, address),
            customer=names[number % len(names)],
            keys_of=deployment.customers.keys_of,
        )
        for number in range(count)
    ]
    return [asyncio.create_task(caller.run()) for caller in callers]


async def _check_recovery(deployment: Deployment) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + _RECOVERY_S
    share = 0.0
    while share < _SERVED and loop.time() < end:
        await asyncio.sleep(_CALM_S)
        share = served_share(deployment.history, loop.time() - _CALM_S, loop.time() - _LONGEST_S)
    if share < _SERVED:
        deployment.faults.append(f'RECOVER only {share:.3f} were served at the end')
