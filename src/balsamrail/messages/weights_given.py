"""Effective weights of a host."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class WeightsGiven:
    """The sender's effective weights in parts per million, by ``service/region``."""

    ppm_by_place: dict[str, int]
