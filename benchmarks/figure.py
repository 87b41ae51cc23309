"""A measured figure with an optional bound."""

import json
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """A value with an upper bound, or a lower bound if ``at_least`` is set."""

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False

    @property
    def ok(self) -> bool:
        """Whether the value is within its bound; true without a bound."""
        if self.bound is None:
            return True
        return self.value >= self.bound if self.at_least else self.value <= self.bound

    def line(self) -> str:
        """Return the figure as a JSON line."""
        return json.dumps(
            {
                'name': self.name,
                'value': round(self.value, 4),
                'unit': self.unit,
                'bound': self.bound,
                'ok': self.ok,
            }
        )
