"""The settings document of a host."""

from dataclasses import dataclass, field

from apischema import schema

from balsamrail.settings.address import Address
from balsamrail.settings.bounds import Bounds
from balsamrail.settings.limits import Limits
from balsamrail.settings.store_settings import StoreSettings

_NAME = schema(pattern='^[a-z0-9][a-z0-9-]{0,62}$')


@dataclass(slots=True, kw_only=True, frozen=True)
class Settings:
    """Everything that a host needs before it can reach the store.

    ``seeds`` are peer addresses to contact while the store and its host list are unavailable.

    The fields from ``lookup_address`` on apply to a host on the users' platform: the addresses for
    lookups and readiness checks, the region of each availability zone, the promised bounds, and
    whether all hosts start for the first time. ``memory_mb`` is the memory of the process in MB;
    unfinished responses may use a quarter of it. ``max_descriptors`` is the number of files and
    sockets that the process may have open.
    """

    deployment: str = field(metadata=_NAME)
    host: str = field(metadata=_NAME)
    region: str = field(metadata=_NAME)
    availability_zone: str = field(metadata=_NAME)
    caller_address: Address
    peer_address: Address
    operator_address: Address
    store: StoreSettings
    seeds: list[Address] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    lookup_address: Address | None = None
    readiness_address: Address | None = None
    region_by_availability_zone: dict[str, str] = field(default_factory=dict)
    bounds: Bounds = field(default_factory=Bounds)
    is_first_start: bool = False
    memory_mb: int = field(default=300, metadata=schema(min=1))
    max_descriptors: int = field(default=4_096, metadata=schema(min=64))
