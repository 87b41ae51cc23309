"""The sizes of a deployment that is played."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class ZoneSize:
    """An availability zone.

    :param hosts: the number of entry hosts there.
    :param rate: requests a second of the zone's callers, in proportion to the other zones.
    """

    name: str
    region: str
    hosts: int
    rate: float = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceSize:
    """A service and its targets.

    :param targets_by_zone: how many targets each availability zone has.
    :param kept_objects: how many objects a target remembers.
    """

    name: str
    targets_by_zone: dict[str, int]
    slots: int
    kept_objects: int


@dataclass(slots=True, kw_only=True, frozen=True)
class KindSize:
    """A kind of request.

    :param rate: requests a second, all zones together.
    :param work_s: the mean work for an object that the target does not know, in seconds.
    :param objects: objects of each region.
    :param exchange_bytes: bytes of a request and its answer together.
    """

    name: str
    service: str
    rate: float
    work_s: float
    aim_s: float
    timeout_s: float
    patience_s: float
    worth: float
    late_worth: float
    priority: int
    objects: int
    is_idempotent: bool
    exchange_bytes: int


@dataclass(slots=True, kw_only=True, frozen=True)
class Change:
    """Something that happens to a service's targets.

    :param share: the part of the targets that it happens to.
    :param factor: the work takes so many times as long; 0 if the targets crash and come back.
    :param refusing: the part of the requests that are refused without being run.
    :param losing: the part of the answers that are lost.
    """

    at_s: float
    for_s: float
    service: str
    share: float
    factor: float = 1
    refusing: float = 0
    losing: float = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Evacuation:
    """An availability zone whose targets get nothing for a while; they stay warm."""

    at_s: float
    for_s: float
    zone: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """A deployment with its load.

    :param bursts: (from, to, factor) for the rate of all callers, in seconds.
    """

    name: str
    zones: tuple[ZoneSize, ...]
    services: tuple[ServiceSize, ...]
    kinds: tuple[KindSize, ...]
    zone_delay_s: float
    region_delay_s: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    changes: tuple[Change, ...] = field(default=())
    evacuations: tuple[Evacuation, ...] = field(default=())

    def region_by_zone(self) -> dict[str, str]:
        """Return the region of each availability zone."""
        return {zone.name: zone.region for zone in self.zones}
