"""Randomized faults of targets, derived from the seed of a run."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterable

from tools.soak.deployment import Deployment
from tools.soak.soak_host import BOUNDS

_ODD_RETRY_AFTER = ('-1', 'nan', 'inf', 'soon', '')
_DRAIN_S = float(BOUNDS['drain_s'])
# Weight of each optional fault in the random choice; regular faults have a weight of 1.
_FURTHER_FAULT_WEIGHT = 4
# Range of the refusal time in seconds.
_REFUSED_S = (0.5, 4.0)


class TargetFaults:
    """Injects faults into targets; each fault ends after a random time."""

    def __init__(self, *, deployment: Deployment, random_source: random.Random) -> None:
        self._deployment = deployment
        self._random = random_source

    def kinds(self, behaviours: Iterable[str]) -> list[Callable[[], Awaitable[None]]]:
        """Return the regular faults and the optional ones, weighted so that the latter overlap."""
        usual = [
            self._target_connections,
            self._target_slow,
            self._target_loses,
            self._target_loses,
            self._target_garbles,
            self._target_crashes,
            self._target_drains,
            self._target_is_replaced,
        ]
        further = {
            'leaving': self._target_leaves,
            'refusing': self._target_refuses,
            'endless': self._target_never_ends,
        }
        drawn = [further[name] for name in sorted(behaviours) if name in further]
        return usual + drawn * _FURTHER_FAULT_WEIGHT

    async def _sleep(self, least_s: float, most_s: float) -> None:
        await asyncio.sleep(self._random.uniform(least_s, most_s))

    async def _target_connections(self) -> None:
        target = self._random.choice(self._deployment.targets)
        if self._random.random() < 0.5:
            target.proxy.reset()
        else:
            target.proxy.silence()
        now = asyncio.get_running_loop().time()
        self._deployment.history.disturbed.append((target.target_id, now))

    async def _target_slow(self) -> None:
        target = self._random.choice(self._deployment.targets)
        target.work_s, target.proxy.delay_s = 0.5, 0.05
        await self._sleep(0.5, 4)
        target.work_s, target.proxy.delay_s = 0.03, 0.0

    async def _target_loses(self) -> None:
        target = self._random.choice(self._deployment.targets)
        target.losing = 0.5
        await self._sleep(0.5, 3)
        target.losing = 0.0

    async def _target_garbles(self) -> None:
        target = self._random.choice(self._deployment.targets)
        target.garbling = 0.3
        await self._sleep(0.5, 3)
        target.garbling = 0.0

    async def _target_crashes(self) -> None:
        target = self._deployment.free_target(self._random)
        if target is None:
            return
        target.crash()
        await self._sleep(0.2, 3)
        if self._random.random() < 0.5:
            target.unregister()
        await target.resume()
        self._deployment.release(target)

    async def _target_drains(self) -> None:
        target = self._deployment.free_target(self._random)
        if target is None:
            return
        if self._random.random() < 0.7:
            target.register('draining')
        else:
            target.unregister()
        await self._sleep(3, 5)
        target.register('ready')
        self._deployment.release(target)

    async def _target_is_replaced(self) -> None:
        """Reassign the address of a stopped target to a target of another service."""
        target = self._deployment.free_target(self._random)
        if target is None:
            return
        target.register('draining')
        await self._sleep(2.5, 4)
        target.unregister()
        target.crash()
        await self._deployment.replace_target(target)

    async def _target_leaves(self) -> None:
        """Announce the shutdown in all responses, and in some cases in the entry as well."""
        target = self._deployment.free_target(self._random, is_used=True)
        if target is None:
            return
        target.is_leaving = True
        await self._sleep(0, 1)
        match self._random.randrange(5):
            case 0:
                target.register('draining')
            case 1:
                target.unregister()
            case 2:
                target.rewrite_entry()
        await self._sleep(_DRAIN_S + 0.5, _DRAIN_S + 4)
        target.crash()
        await self._sleep(0, 1)
        await target.resume()
        self._deployment.release(target)

    async def _target_refuses(self) -> None:
        """Refuse all requests for a random time, up to three times in a row."""
        target = self._random.choice(self._deployment.used(self._deployment.targets))
        if self._random.random() < 0.1:
            target.odd_retry_after = self._random.choice(_ODD_RETRY_AFTER)
        for _ in range(self._random.randint(1, 3)):
            for_s = self._random.uniform(*_REFUSED_S)
            target.refusing_until = asyncio.get_running_loop().time() + for_s
            await asyncio.sleep(for_s)
            await self._sleep(0, 1)
        target.odd_retry_after = ''

    async def _target_never_ends(self) -> None:
        target = self._random.choice(self._deployment.used(self._deployment.targets))
        target.endless = self._random.choice((0.2, 1.0))
        await self._sleep(0.5, 3)
        target.endless = 0.0
