"""Linear regression of measurements."""

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(slots=True, kw_only=True, frozen=True)
class Slope:
    """A least-squares fit ``intercept + slope * size``.

    ``residual`` is the largest distance of a point from the line as a fraction of the largest
    measured value.
    """

    name: str
    unit: str
    sizes: tuple[float, ...]
    measured: tuple[float, ...]
    slope: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the fit at ``size``."""
        return self.intercept + self.slope * size

    def line(self) -> str:
        """Return the fit as a JSON line."""
        return json.dumps(
            {
                'name': self.name,
                'unit': self.unit,
                'measured': dict(zip(self.sizes, self.measured, strict=True)),
                'slope': self.slope,
                'intercept': self.intercept,
                'residual': round(self.residual, 4),
            }
        )

    def row(self) -> str:
        """Return the fit as a row of a Markdown table."""
        points = ', '.join(
            f'{size:g}: {value:.4g}' for size, value in zip(self.sizes, self.measured, strict=True)
        )
        return (
            f'| {self.name} | {points} | {self.slope:.4g} | {self.intercept:.4g} | '
            f'{self.residual:.1%} | {self.unit} |'
        )


def measure_slope(
    name: str, *, unit: str, sizes: Sequence[float], measure: Callable[[int], float]
) -> Slope:
    """Measure each size and fit a line to the results."""
    measured = [measure(int(size)) for size in sizes]
    return fit_slope(name=name, unit=unit, sizes=sizes, measured=measured)


def fit_slope(*, name: str, unit: str, sizes: Sequence[float], measured: Sequence[float]) -> Slope:
    """Fit a line to at least four points.

    :raises ValueError: if there are fewer, because the residual would not be meaningful.
    """
    if len(sizes) < 4:
        raise ValueError(f'{name}: {len(sizes)} sizes, at least 4 are needed')
    slope, intercept = np.polyfit(sizes, measured, 1)
    distances = [
        abs(intercept + slope * size - value) for size, value in zip(sizes, measured, strict=True)
    ]
    return Slope(
        name=name,
        unit=unit,
        sizes=tuple(sizes),
        measured=tuple(measured),
        slope=float(slope),
        intercept=float(intercept),
        residual=max(distances) / max(map(abs, measured)),
    )
