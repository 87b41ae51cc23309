"""What one host knows of one target."""

import math
from dataclasses import dataclass

# Reports of load are weighed down by half for each second of age, since they lag as it is.
_HALF_LIFE_S = 1.0
_SMOOTHING = 0.03


@dataclass(slots=True, kw_only=True)
class TargetState:
    """Own requests in flight at a target, and what reports say of it.

    ``since`` is when the target came into use, for slow start. ``others`` is the load of other
    hosts by the last report, at ``reported_at``. ``leaving_wall_s`` orders reports of leaving.
    """

    address: str
    slots: int
    connections: int
    since: float
    in_flight: int = 0
    others: float = 0
    reported_at: float = 0
    ready: bool = True
    failed_probes: int = 0
    leaving: bool = False
    leaving_wall_s: float = 0
    leaving_until: float = 0

    def load(self, *, now: float, aged: bool = True) -> float:
        """Return own requests plus those of others, which count less the older the report."""
        if not aged:
            return self.in_flight + self.others
        age_s = max(0, now - self.reported_at)
        return self.in_flight + self.others * math.exp2(-age_s / _HALF_LIFE_S)

    def report(self, *, in_flight: int, now: float) -> None:
        """Take a report of all requests in flight at the target; the own part is known better."""
        # Hosts that follow lagging reports at once all move to the same targets, so a report only
        # shifts a mean, and only in part.
        others = float(max(0, in_flight - self.in_flight))
        self.others += _SMOOTHING * (others - self.others)
        self.reported_at = now

    def is_leaving(self, *, now: float) -> bool:
        """Return whether the target said, itself or through a peer, that it leaves."""
        return self.leaving and now < self.leaving_until
