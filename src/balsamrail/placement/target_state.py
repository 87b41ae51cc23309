"""What a host knows of one target's room and health."""

from dataclasses import dataclass, field
from typing import Protocol

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.reported_load import ReportedLoad

# A target's report says less and less of the other hosts' requests as it gets older.
_REPORT_LIFE_S = 2.5


class Closable(Protocol):
    """A connection that can be broken off."""

    def close(self) -> None:
        """Close it."""


@dataclass(slots=True, kw_only=True)
class TargetState:
    """One start of a target, as this host sees it.

    :param in_flight: this host's requests at the target.
    :param cold_until: the time until which the target tolerates few requests.
    :param is_down: whether it refused or dropped a connection and has not answered since.
    :param check_at: when the health of a target that is down is checked next.
    :param failures: failures in a row.
    :param repeatable: connections with requests that may be sent elsewhere as well.
    """

    entry: TargetEntry
    in_flight: int = 0
    cold_until: float = 0
    is_down: bool = False
    check_at: float = 0
    failures: int = 0
    repeatable: set[Closable] = field(default_factory=set)
    _heard_at: float = 0
    _others: float = 0
    _reported_at: float = 0

    def begin(self, *, now: float) -> None:
        """Count a request that is sent to the target."""
        if not self.in_flight:
            self._heard_at = now
        self.in_flight += 1

    def end(self, *, is_heard: bool, now: float) -> None:
        """Count a request that has ended.

        :param is_heard: whether the target answered it.
        """
        self.in_flight -= 1
        if is_heard:
            self._heard_at = now

    def silent_s(self, *, now: float) -> float:
        """Return for how long requests have waited without any answer, 0 if none waits."""
        return now - self._heard_at if self.in_flight else 0

    def note_down(self, *, check_at: float) -> None:
        """Take the target out of use until its health was checked."""
        self.is_down = True
        self.check_at = check_at

    def abandon(self) -> None:
        """Break off the requests that may be sent elsewhere."""
        for connection in list(self.repeatable):
            connection.close()

    def note_load(self, load: ReportedLoad, *, now: float) -> None:
        """Take what the target told of its load in an answer."""
        self._others = max(0, load.running + load.waiting - self.in_flight)
        self._reported_at = now

    def load(self, *, now: float) -> float:
        """Return the estimated number of requests at the target, those of other hosts included."""
        age = max(0, now - self._reported_at)
        others = self._others * max(0, 1 - age / _REPORT_LIFE_S)
        return self.in_flight + others

    def fill(self, *, now: float) -> float:
        """Return the load in proportion to the slots."""
        return self.load(now=now) / self.entry.slots

    def is_cold(self, *, now: float) -> bool:
        """Return whether the target tolerates few requests."""
        return now < self.cold_until
