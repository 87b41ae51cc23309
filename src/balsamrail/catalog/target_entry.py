"""What a target says of itself in the platform's store."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetEntry:
    """One start of a target.

    :param born_ms: the Unix time of its start in milliseconds, which tells two starts under the
        same id apart; 0 if it is not known.
    :param is_draining: whether it is about to leave and takes no new work.
    :param cold_left_s: for how long it was to stay cold when the entry was written, in seconds.
    """

    target_id: str
    service: str
    address: str
    availability_zone: str
    region: str
    version: str
    slots: int
    is_draining: bool
    cold_left_s: float
    born_ms: int
