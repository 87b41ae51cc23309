"""Delayed removal of targets."""

import asyncio

from balsamrail.catalog.catalog import Catalog


class DelayedRemoval:
    """Removes targets, with a grace period after an outage of the store."""

    __slots__ = ('_catalog', '_reasons_by_id', '_timers_by_id')

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._timers_by_id: dict[str, asyncio.TimerHandle] = {}
        self._reasons_by_id: dict[str, str] = {}

    def remove(self, target_id: str, *, after_s: float, reason: str) -> None:
        """Remove a target after ``after_s`` unless :meth:`cancel` is called before that."""
        if after_s <= 0:
            self.cancel(target_id)
            self._catalog.drop_target(target_id, reason=reason)
        elif target_id not in self._timers_by_id:
            self._reasons_by_id[target_id] = reason
            self._start_timer(target_id, after_s=after_s)

    def restart(self, *, after_s: float) -> None:
        """Let the grace period of all pending removals start again."""
        for target_id, timer in list(self._timers_by_id.items()):
            timer.cancel()
            self._start_timer(target_id, after_s=after_s)

    def cancel(self, target_id: str) -> None:
        """Cancel the removal of a target that has registered again."""
        self._reasons_by_id.pop(target_id, None)
        timer = self._timers_by_id.pop(target_id, None)
        if timer is not None:
            timer.cancel()

    def _start_timer(self, target_id: str, *, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timers_by_id[target_id] = loop.call_later(after_s, self._remove_now, target_id)

    def _remove_now(self, target_id: str) -> None:
        self._timers_by_id.pop(target_id, None)
        reason = self._reasons_by_id.pop(target_id)
        self._catalog.drop_target(target_id, reason=reason)
        self._catalog.publish()
