"""What a host knows of one target's room and health."""

from dataclasses import dataclass

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.placement.reported_load import ReportedLoad

# A target's report says less and less of the other hosts' requests as it gets older.
_REPORT_LIFE_S = 2.5


@dataclass(slots=True, kw_only=True)
class TargetState:
    """One start of a target, as this host sees it.

    :param in_flight: this host's requests at the target.
    :param cold_until: the time until which the target tolerates few requests.
    :param is_down: whether it refused or dropped a connection and has not answered since.
    :param check_at: when the health of a target that is down is checked next.
    :param failures: failures in a row.
    """

    entry: TargetEntry
    in_flight: int = 0
    cold_until: float = 0
    is_down: bool = False
    check_at: float = 0
    failures: int = 0
    _others: float = 0
    _reported_at: float = 0

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
