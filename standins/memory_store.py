"""An in-memory store with scripted delays and lost responses."""

import asyncio
import json
from collections import Counter
from collections.abc import Iterable
from typing import Any

from balsamrail.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.store import StoredObject, StoreEra
from balsamrail.store.versions import join_version, split_version

_LATE_WRITE_DELAY_S = 3


class MemoryStore:
    """Implements the reads and writes of the Store protocol for several hosts of a test.

    All written values are retained, so that tests can count the effects. While ``down`` is set,
    calls are refused.

    :param script: pairs of (delay in seconds before and after the effect, outcome), consumed one
        per call; calls after the end of the script succeed. Outcomes: ok, refused (no effect),
        lost (effect, no response), dropped (no effect, no response), late (no response, and the
        effect occurs 3 s later).
    :param delay_s: the delay of calls after the end of the script.
    """

    def __init__(
        self, *, script: Iterable[tuple[float, str]] = (), delay_s: float = 0.001
    ) -> None:
        self.script = list(script)
        self.delay_s = delay_s
        self.down = False
        self.era = StoreEra()
        self.values_by_name: dict[str, list[str]] = {}
        self.calls: Counter[str] = Counter()
        self._late: list[asyncio.Task[None]] = []

    async def read(self, name: str) -> StoredObject | None:
        delay, fate = self._next('read')
        await asyncio.sleep(delay)
        if fate != 'ok':
            raise StoreUnavailableError(fate)
        values = self.values_by_name.get(name)
        if not values:
            return None
        found = StoredObject(name=name, version=self.version(name), value=json.loads(values[-1]))
        await asyncio.sleep(delay)
        return found

    async def write(self, name: str, *, value: Any, version: int) -> int:
        text = json.dumps(value)
        delay, fate = self._next('write')
        await asyncio.sleep(delay)
        match fate:
            case 'refused':
                raise StoreUnavailableError(fate)
            case 'dropped':
                raise StoreOutcomeUnknownError(fate)
            case 'late':
                self._late.append(asyncio.create_task(self._apply_late(name, text, version)))
                raise StoreOutcomeUnknownError(fate)
        taken = self._apply(name, text, version)
        written_version = self.version(name)
        await asyncio.sleep(delay)
        if fate == 'lost':
            raise StoreOutcomeUnknownError(fate)
        if not taken:
            raise StoreConflictError(name=name, version=self.version(name))
        return written_version

    def version(self, name: str) -> int:
        return join_version(era=self.era.number, number=len(self.values_by_name.get(name, ())))

    def copy(self) -> dict[str, list[str]]:
        """Return a copy of all values that were written."""
        return {name: list(values) for name, values in self.values_by_name.items()}

    def restore(self, values_by_name: dict[str, list[str]], *, wall_s: float) -> None:
        """Come back from a copy in a new era, which all hosts see at ``wall_s``."""
        self.values_by_name = {name: list(values) for name, values in values_by_name.items()}
        self.era = StoreEra(number=self.era.number + 1, seen_at_wall_s=wall_s)

    def values(self, name: str) -> list[Any]:
        return [json.loads(text) for text in self.values_by_name.get(name, ())]

    async def settle(self) -> None:
        """Wait for the late writes that are still pending."""
        await asyncio.gather(*self._late)

    def _apply(self, name: str, text: str, version: int) -> bool:
        names_no_era = not version and not split_version(self.version(name))[1]
        if self.version(name) != version and not names_no_era:
            return False
        self.values_by_name.setdefault(name, []).append(text)
        return True

    async def _apply_late(self, name: str, text: str, version: int) -> None:
        await asyncio.sleep(_LATE_WRITE_DELAY_S)
        self._apply(name, text, version)

    def _next(self, kind: str) -> tuple[float, str]:
        self.calls[kind] += 1
        if self.down:
            return self.delay_s, 'refused'
        return self.script.pop(0) if self.script else (self.delay_s, 'ok')
