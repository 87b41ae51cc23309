"""Asks the steward of the region where objects are placed."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import ObjectRates, PlacementQuery, PlacementUpdate, TargetSamples
from balsamrail.placement.demand_meter import Demand
from balsamrail.placement.placement_table import PlacementTable

# The first run of an object takes far longer than to ask; a lost answer must not hold it up.
_ANSWER_S = 0.04
# A steward that did not answer is not waited for again so soon.
_PAUSE_S = 1.0
_MS_IN_S = 1_000


class PlacementClient:
    """Keeps this host's table in step with the steward's.

    :param steward: tells which host the steward is at present, ``None`` if there is none.
    """

    __slots__ = (
        '_environment',
        '_network',
        '_no_wait_until',
        '_steward',
        '_table',
        '_version',
        '_version_of',
        '_waiting',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        network: Network,
        table: PlacementTable,
        steward: Callable[[], str | None],
    ) -> None:
        self._environment = environment
        self._network = network
        self._table = table
        self._steward = steward
        self._no_wait_until = 0.0
        self._version = 0
        self._version_of: str | None = None
        self._waiting: dict[tuple[str, int], asyncio.Future[None]] = {}
        network.subscribe(PlacementUpdate, self._take)

    async def ask(self, scope: str, bucket: int) -> str | None:
        """Return the target that the steward names, ``None`` if it does not answer at once."""
        steward = self._steward()
        now = self._environment.clock.monotonic()
        if steward is None or now < self._no_wait_until:
            return None
        key = (scope, bucket)
        answered = self._waiting.get(key)
        if answered is None:
            answered = asyncio.get_running_loop().create_future()
            self._waiting[key] = answered
            await self._network.send(steward, PlacementQuery(scope=scope, bucket=bucket))
        try:
            async with asyncio.timeout(_ANSWER_S):
                await asyncio.shield(answered)
        except TimeoutError:
            self._environment.metrics.count('placement_queries_unanswered')
            self._no_wait_until = self._environment.clock.monotonic() + _PAUSE_S
            self._waiting.pop(key, None)
        return self._table.target_of(scope, bucket)

    async def report(self, demand: Demand) -> None:
        """Tell the steward what was asked for and how targets answered."""
        steward = self._steward()
        if steward is None:
            return
        if steward != self._version_of:
            self._version_of, self._version = steward, 0
        for scope, counts in (demand.counts_by_scope or {'': Counter[int]()}).items():
            rates = ObjectRates(
                version=self._version,
                scope=scope,
                buckets=list(counts),
                counts=list(counts.values()),
            )
            await self._network.send(steward, rates)
        samples = demand.samples_by_target
        if samples:
            await self._network.send(
                steward,
                TargetSamples(
                    target_ids=list(samples),
                    answers=[sample.answers for sample in samples.values()],
                    busy_ms=[int(sample.busy_s * _MS_IN_S) for sample in samples.values()],
                    ended=[sample.ended for sample in samples.values()],
                    failures=[sample.failures for sample in samples.values()],
                ),
            )

    def dump(self) -> dict[str, Any]:
        """Return the steward and how much of its table is here."""
        return {'steward': self._steward(), 'version': self._version}

    def _take(self, host: str, update: PlacementUpdate) -> None:
        if host != self._steward():
            return
        if host != self._version_of:
            self._version_of, self._version = host, 0
        pairs = zip(update.buckets, update.target_numbers, strict=False)
        count = len(update.target_ids)
        targets = {
            bucket: update.target_ids[number] for bucket, number in pairs if 0 <= number < count
        }
        if update.is_full:
            self._table.replace(update.scope, targets)
            self._version = update.version
        elif update.version == self._version + 1:
            self._version = update.version
        for bucket, target_id in targets.items():
            self._table.assign(update.scope, bucket, target_id)
            answered = self._waiting.pop((update.scope, bucket), None)
            if answered is not None and not answered.done():
                answered.set_result(None)
