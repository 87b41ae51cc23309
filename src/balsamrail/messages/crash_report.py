"""Report of a request in flight at a target crash."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class CrashReport:
    """A request with this fingerprint was in flight on a target when the target crashed."""

    fingerprint: bytes
    service: str
    target: str
    wall_s: float
