"""State of one target as seen by one host."""

import math
from dataclasses import dataclass

# Load reports lag already when they arrive, so their weight halves with each second of age.
_HALF_LIFE_S = 1.0
_SMOOTHING = 0.03


@dataclass(slots=True, kw_only=True)
class TargetState:
    """The own requests in flight at a target, and the content of reports about it.

    ``since`` is the time at which the target came into use, for slow start. ``load_of_others`` is the
    smoothed load of other hosts as of the last report at ``reported_at``. ``leaving_wall_s``
    orders reports of leaving.
    """

    address: str
    slots: int
    connections: int
    since: float
    in_flight: int = 0
    load_of_others: float = 0
    reported_at: float = 0
    ready: bool = True
    failed_probes: int = 0
    leaving: bool = False
    leaving_wall_s: float = 0
    leaving_until: float = 0

    def load(self, *, now: float, aged: bool = True) -> float:
        """Return the own requests plus those of others, weighted by the age of the report."""
        if not aged:
            return self.in_flight + self.load_of_others
        age_s = max(0, now - self.reported_at)
        return self.in_flight + self.load_of_others * math.exp2(-age_s / _HALF_LIFE_S)

    def report(self, *, in_flight: int, now: float) -> None:
        """Record a report of all requests in flight at the target.

        The own requests are subtracted, since this host knows their current number.
        """
        # If hosts followed lagging reports directly, all would move to the same targets, so a report
        # only contributes to an exponential moving average.
        load_of_others = float(max(0, in_flight - self.in_flight))
        self.load_of_others += _SMOOTHING * (load_of_others - self.load_of_others)
        self.reported_at = now

    def is_leaving(self, *, now: float) -> bool:
        """Return whether the target has reported that it leaves, directly or through a peer."""
        return self.leaving and now < self.leaving_until
