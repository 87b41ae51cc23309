"""Statistics of a simulation."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

_WINDOW_S = 2.0


@dataclass(slots=True, kw_only=True)
class LoadStatistics:
    """Accumulates credit and outcomes.

    :param outcomes: numbers of in_aim, late, refused and failed requests by kind of request.
    :param sends: numbers of known (the target had cached the object), new and rejected sends.
    """

    owed_by_kind: Counter[str] = field(default_factory=Counter)
    earned_by_kind: Counter[str] = field(default_factory=Counter)
    owed_by_zone: Counter[str] = field(default_factory=Counter)
    earned_by_zone: Counter[str] = field(default_factory=Counter)
    owed_by_window: Counter[int] = field(default_factory=Counter)
    earned_by_window: Counter[int] = field(default_factory=Counter)
    outcomes: dict[str, Counter[str]] = field(default_factory=lambda: defaultdict(Counter))
    sends: Counter[str] = field(default_factory=Counter)
    zone_bytes: int = 0
    region_bytes: int = 0

    def add(
        self, *, kind: str, zone: str, at: float, owed: float, earned: float, outcome: str
    ) -> None:
        """Add a completed request."""
        window = int(at / _WINDOW_S)
        self.owed_by_kind[kind] += owed  # type: ignore[assignment]
        self.earned_by_kind[kind] += earned  # type: ignore[assignment]
        self.owed_by_zone[zone] += owed  # type: ignore[assignment]
        self.earned_by_zone[zone] += earned  # type: ignore[assignment]
        self.owed_by_window[window] += owed  # type: ignore[assignment]
        self.earned_by_window[window] += earned  # type: ignore[assignment]
        self.outcomes[kind][outcome] += 1

    def credit(self) -> float:
        """Return the fraction of the total credit that was earned."""
        return sum(self.earned_by_kind.values()) / max(1, sum(self.owed_by_kind.values()))

    def credit_in(self, windows: Iterable[int]) -> float:
        """Return the fraction of the credit that was earned in the given two-second windows."""
        chosen = list(windows)
        owed = sum(self.owed_by_window[window] for window in chosen)
        return sum(self.earned_by_window[window] for window in chosen) / max(1, owed)

    def min_zone_credit(self) -> float:
        """Return the fraction of the credit that the worst-served zone earned."""
        return min(self.earned_by_zone[zone] / owed for zone, owed in self.owed_by_zone.items())

    def min_kind_credit(self) -> float:
        """Return the fraction of the credit that the worst-served kind of request earned."""
        return min(self.earned_by_kind[kind] / owed for kind, owed in self.owed_by_kind.items())

    def outcome_fraction(self, outcome: str) -> float:
        """Return the fraction of all requests that had the given outcome."""
        total = sum(counts.total() for counts in self.outcomes.values())
        return sum(counts[outcome] for counts in self.outcomes.values()) / max(1, total)
