"""One measured figure."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Figure:
    """A measured value with its unit; ``bound`` is the highest allowed value, if any."""

    name: str
    value: float
    unit: str
    bound: float | None = None

    def is_within_bound(self) -> bool:
        return self.bound is None or self.value <= self.bound
