"""Model of a simulated deployment and its load."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True, frozen=True)
class ZoneModel:
    """An availability zone.

    :param hosts: number of entry hosts in the zone.
    :param rate: request rate of the zone's callers, relative to the other zones.
    """

    name: str
    region: str
    hosts: int
    rate: float = 1


@dataclass(slots=True, kw_only=True, frozen=True)
class ServiceModel:
    """A service and its targets.

    :param targets_by_zone: number of targets in each availability zone.
    :param cache_size: number of objects that a target caches.
    """

    name: str
    targets_by_zone: dict[str, int]
    slots: int
    cache_size: int


@dataclass(slots=True, kw_only=True, frozen=True)
class RequestKind:
    """A kind of request.

    :param rate: requests per second in all zones together.
    :param work_s: mean service time in seconds for an object that the target has not cached.
    :param objects: number of objects in each region.
    :param exchange_bytes: size of a request and its response together.
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
    """A temporary fault of some targets of a service.

    :param share: fraction of the targets that are affected.
    :param factor: multiplier of the service time; with 0 the targets crash and restart.
    :param refusing: fraction of the requests that are refused without execution.
    :param losing: fraction of the responses that are lost.
    """

    at_s: float
    for_s: float
    service: str
    share: float
    factor: float = 1
    refusing: float = 0
    losing: float = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class ZoneEvacuation:
    """A temporary evacuation of an availability zone, whose targets stay warm."""

    at_s: float
    for_s: float
    zone: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Site:
    """A deployment and its load.

    :param bursts: (start, end, factor) of the rate of all callers, with times in seconds.
    :param long_run_fraction: fraction of the runs that take several times as long.
    :param slow_fraction: fraction of the time in which a target is slow, for moments each.
    """

    name: str
    zones: tuple[ZoneModel, ...]
    services: tuple[ServiceModel, ...]
    kinds: tuple[RequestKind, ...]
    zone_delay_s: float
    region_delay_s: float
    bursts: tuple[tuple[float, float, float], ...] = ()
    changes: tuple[Change, ...] = field(default=())
    evacuations: tuple[ZoneEvacuation, ...] = field(default=())
    long_run_fraction: float = 0
    slow_fraction: float = 0

    def region_by_zone(self) -> dict[str, str]:
        """Return the region of each availability zone."""
        return {zone.name: zone.region for zone in self.zones}
