"""Whether this host reaches the platform's store."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from balsamrail.catalog.object_source import ObjectSource
from balsamrail.environment import Environment
from balsamrail.errors import StoreError

_CHECK_S = 1.0
_RETRY_S = 0.3
# As many as can wait in vain at a time.
_MOST_CHECKS = 5


class StoreContact:
    """Asks the store for something small once a second, at a tenth of a call's price.

    A watch that waits does not tell whether the store still answers, so an outage would be seen
    only when the wait is over. When the store answers again after an outage, all feeds list
    anew, since a watch may have been lost without a sign.

    :param kind: a kind with few objects.
    """

    __slots__ = (
        '_answers',
        '_environment',
        '_kind',
        '_on_return',
        '_source',
        '_up_since',
    )

    def __init__(self, *, environment: Environment, source: ObjectSource, kind: str) -> None:
        self._environment = environment
        self._source = source
        self._kind = kind
        self._answers = asyncio.Event()
        self._up_since = environment.clock.monotonic()
        self._on_return: list[Callable[[], None]] = []

    def subscribe(self, on_return: Callable[[], None]) -> None:
        """Call ``on_return`` whenever the store answers again."""
        self._on_return.append(on_return)

    def is_up(self) -> bool:
        """Return whether the last call was answered."""
        return self._answers.is_set()

    def up_for_s(self) -> float:
        """Return for how many seconds the store has answered, 0 while it does not."""
        if not self.is_up():
            return 0
        return self._environment.clock.monotonic() - self._up_since

    async def wait_until_up(self) -> None:
        """Wait until the store answers."""
        await self._answers.wait()

    def reset(self) -> None:
        """Forget the last answer, since checks have ended."""
        self._answers.clear()

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            try:
                await self._check()
            except StoreError as error:
                self._note_failure(error)
                await self._wait_for_return()
            self._note_answer()
            await asyncio.sleep(_CHECK_S)

    async def _check(self) -> None:
        await self._source.list_objects(self._kind, is_stale_allowed=True)

    async def _wait_for_return(self) -> None:
        """Start a check every so often, without waiting for the ones before.

        While the path to the store is cut, a check only ends when it has waited in vain. The
        next one would notice the return that much later, and what left meanwhile would be kept
        for as long again.
        """
        returned = asyncio.Event()
        checks: set[asyncio.Task[None]] = set()
        try:
            while not returned.is_set():
                if len(checks) < _MOST_CHECKS:
                    check = asyncio.create_task(self._check_once(returned))
                    checks.add(check)
                    check.add_done_callback(checks.discard)
                with suppress(TimeoutError):
                    await asyncio.wait_for(returned.wait(), _RETRY_S)
        finally:
            for unfinished in list(checks):
                unfinished.cancel()

    async def _check_once(self, returned: asyncio.Event) -> None:
        with suppress(StoreError):
            await self._check()
            returned.set()

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'is_up': self.is_up(), 'up_for_s': self.up_for_s()}

    def _note_failure(self, error: StoreError) -> None:
        if self.is_up():
            self._answers.clear()
            self._environment.metrics.count('store_losses')
            self._environment.log.event('store_lost', reason=error)

    def _note_answer(self) -> None:
        if self.is_up():
            return
        self._answers.set()
        self._up_since = self._environment.clock.monotonic()
        self._environment.log.event('store_reached')
        for on_return in self._on_return:
            on_return()
