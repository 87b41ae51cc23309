"""Delayed removal of targets."""

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.grace_timers import GraceTimers


class DelayedRemoval:
    """Removes targets, with a grace period after an outage of the store."""

    __slots__ = ('_catalog', '_reasons_by_id', '_timers')

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog
        self._timers = GraceTimers(on_end=self._remove_now)
        self._reasons_by_id: dict[str, str] = {}

    def remove(self, target_id: str, *, after_s: float, reason: str) -> None:
        """Remove a target after ``after_s`` unless :meth:`cancel` is called before that."""
        if after_s <= 0:
            self.cancel(target_id)
            self._catalog.drop_target(target_id, reason=reason)
        elif target_id not in self._timers:
            self._reasons_by_id[target_id] = reason
            self._timers.start(target_id, after_s=after_s)

    def restart(self, *, after_s: float) -> None:
        """Let the grace period of all pending removals start again."""
        self._timers.restart_all(after_s=after_s)

    def cancel(self, target_id: str) -> None:
        """Cancel the removal of a target that has registered again."""
        self._reasons_by_id.pop(target_id, None)
        self._timers.cancel(target_id)

    def _remove_now(self, target_id: str) -> None:
        self._catalog.drop_target(target_id, reason=self._reasons_by_id.pop(target_id))
        self._catalog.publish()
