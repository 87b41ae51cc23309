"""Delayed removal of targets."""

import asyncio

from balsamrail.catalog.catalog import Catalog


class DelayedRemoval:
    """Removes targets, with a grace period after an outage of the store."""

    __slots__ = ('_catalog', '_timers_by_id')

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._timers_by_id: dict[str, asyncio.TimerHandle] = {}

    def remove(self, target_id: str, *, after_s: float, reason: str) -> None:
        """Remove a target after ``after_s`` unless :meth:`cancel` is called before that."""
        if after_s <= 0:
            self.cancel(target_id)
            self._catalog.drop_target(target_id, reason=reason)
        elif target_id not in self._timers_by_id:
            loop = asyncio.get_running_loop()
            self._timers_by_id[target_id] = loop.call_later(
                after_s, self._remove_now, target_id, reason
            )

    def cancel(self, target_id: str) -> None:
        """Cancel the removal of a target that has registered again."""
        timer = self._timers_by_id.pop(target_id, None)
        if timer is not None:
            timer.cancel()

    def _remove_now(self, target_id: str, reason: str) -> None:
        self._timers_by_id.pop(target_id, None)
        self._catalog.drop_target(target_id, reason=reason)
        self._catalog.publish()
