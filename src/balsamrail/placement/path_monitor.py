"""Tells the loss of a host's own paths to targets from failures of single targets."""

import math
from collections import deque
from collections.abc import Callable

# Targets that fail one after the other without a response of any target in between. Fewer targets
# may fail at the same moment by themselves.
_MIN_FAILED_TARGETS = 3
# Failures in a row after which fewer targets are enough, for hosts that use only one or two.
_MIN_FAILURES = 6
_MAX_LOSSES = 8


class PathMonitor:
    """Tracks which targets failed since any target was last heard from.

    As long as some target responds, the failures of others are theirs. If several targets fail in
    a row and none responds, the paths of this host are the likelier cause::

        monitor = PathMonitor()
        for target_id in ('i-1', 'i-2', 'i-3'):
            monitor.note_failure(target_id, now=now)
        monitor.is_lost()  # True
        monitor.note_contact(now=now)
        monitor.is_lost()  # False
    """

    __slots__ = (
        '_failed_ids',
        '_failures',
        '_losses',
        '_lost_at',
        '_regained',
        'last_contact_at',
    )

    def __init__(self) -> None:
        self._failed_ids: set[str] = set()
        self._failures = 0
        # The start and the end of each of the last losses; the last end is infinite during a loss.
        self._losses: deque[tuple[float, float]] = deque(maxlen=_MAX_LOSSES)
        # When the present loss was noticed.
        self._lost_at: float = 0
        self._regained: list[Callable[[], None]] = []
        self.last_contact_at: float = 0

    def subscribe(self, regained: Callable[[], None]) -> None:
        """Call ``regained`` whenever a response ends a loss."""
        self._regained.append(regained)

    def note_contact(self, *, now: float) -> None:
        """Record a response of any target."""
        was_lost = self.is_lost()
        if was_lost:
            began_at, _ = self._losses.pop()
            self._losses.append((began_at, now))
        self._failed_ids.clear()
        self._failures = 0
        self.last_contact_at = now
        if was_lost:
            for regained in self._regained:
                regained()

    def note_failure(self, target_id: str, *, now: float) -> None:
        """Record that a request or a connection to a target failed without a response."""
        was_lost = self.is_lost()
        self._failed_ids.add(target_id)
        self._failures += 1
        if self.is_lost() and not was_lost:
            self._losses.append((self.last_contact_at, math.inf))
            self._lost_at = now

    def is_lost(self) -> bool:
        """Return whether the paths of this host, and not single targets, have failed."""
        return self.have_several_failed() or self._failures >= _MIN_FAILURES

    def have_several_failed(self) -> bool:
        """Return whether several targets failed since the last response, not one or two often."""
        return len(self._failed_ids) >= _MIN_FAILED_TARGETS

    def lost_s(self, *, now: float) -> float:
        """Return for how long the paths have been lost, 0 if they are not."""
        return now - self._lost_at if self.is_lost() else 0

    def was_lost(self, *, at: float) -> bool:
        """Return whether what failed at some time did so during a loss of the paths."""
        return any(began_at <= at <= ended_at for began_at, ended_at in self._losses)

    def has_contact_since(self, at: float) -> bool:
        """Return whether a target has responded since some time."""
        return self.last_contact_at >= at

    def failed_ids(self) -> frozenset[str]:
        """Return the targets that failed since the last response."""
        return frozenset(self._failed_ids)
