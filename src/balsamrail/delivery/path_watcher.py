"""Follows the state of a host's paths to targets and announces it to the other hosts."""

import asyncio
from collections.abc import Callable

from balsamrail.environment import Environment
from balsamrail.placement.target_registry import TargetRegistry

_CHECK_INTERVAL_S = 0.25
# The fraction of targets that are down from which on the host is degraded, and below which it is no
# longer.
_DEGRADED_DOWN_FRACTION = 0.5
_RESTORED_DOWN_FRACTION = 0.25
# How long a change has to last before the other hosts hear of it, so that look-ups do not move
# callers to and fro while a link flaps.
_DEGRADED_AFTER_S = 0.5
_RESTORED_AFTER_S = 1.0


class PathWatcher:
    """Announces this host as degraded while it reaches few targets.

    Other hosts then prefer others in look-ups, and send no requests through this one. If the targets
    are down and not the paths, all hosts say the same and none is preferred.

    :param announce: called with whether this host is degraded, at each change.
    """

    __slots__ = (
        '_announce',
        '_changing_since',
        '_environment',
        '_is_lost',
        '_target_registry',
        'is_degraded',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        target_registry: TargetRegistry,
        announce: Callable[[bool], None],
    ) -> None:
        self._environment = environment
        self._target_registry = target_registry
        self._announce = announce
        self._is_lost = False
        self._changing_since: float | None = None
        self.is_degraded = False

    async def run(self) -> None:
        """Follow the state of the paths until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Apply the present state of the paths."""
        is_lost = self._target_registry.paths.is_lost()
        if is_lost:
            self._mark_failed_down()
        if is_lost != self._is_lost:
            self._is_lost = is_lost
            self._note_change()
        self._update_degraded()

    def _note_change(self) -> None:
        event = 'paths_lost' if self._is_lost else 'paths_regained'
        self._environment.metrics.count(event)
        self._environment.log.event(event, targets_down=self._target_registry.down_fraction())

    def _mark_failed_down(self) -> None:
        """Exclude the targets that failed, also those that accepted a connection and reset it."""
        now = self._environment.clock.monotonic()
        for target_id in self._target_registry.paths.failed_ids():
            state = self._target_registry.state_of(target_id)
            if state is not None and not state.is_down:
                state.note_down(check_at=now, now=now)
                state.close_retryable()

    def _update_degraded(self) -> None:
        bound = _RESTORED_DOWN_FRACTION if self.is_degraded else _DEGRADED_DOWN_FRACTION
        down_fraction = self._target_registry.down_fraction()
        is_degraded = self._is_lost or down_fraction >= bound
        now = self._environment.clock.monotonic()
        if is_degraded == self.is_degraded:
            self._changing_since = None
            return
        if self._changing_since is None:
            self._changing_since = now
        if now - self._changing_since < (_DEGRADED_AFTER_S if is_degraded else _RESTORED_AFTER_S):
            return
        self.is_degraded = is_degraded
        self._changing_since = None
        self._environment.log.event(
            'host_degraded' if is_degraded else 'host_restored', targets_down=down_fraction
        )
        self._announce(is_degraded)
