"""The registration of a target in the platform's store."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetEntry:
    """The registration of one incarnation of a target.

    :param born_ms: the Unix time of the start in milliseconds, which distinguishes incarnations
        with the same id; 0 if it is not known.
    :param is_draining: whether the target is about to shut down and accepts no new requests.
    :param cold_left_s: the remaining warm-up time when the entry was written, in seconds.
    :param sequence: numbers the entries of an incarnation; says nothing about the target itself.
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
    sequence: int = field(default=0, compare=False)
