"""Connection settings of the platform's store."""

from dataclasses import dataclass, field

from apischema import schema

from balsamrail.settings.address import Address


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreSettings:
    """The address of the store and the timeouts of its calls, in seconds.

    :param target_heartbeat_s: the interval at which targets renew their entries.
    """

    address: Address
    timeout_s: float = field(default=2, metadata=schema(min=0.1))
    watch_s: float = field(default=30, metadata=schema(min=1))
    target_heartbeat_s: float = field(default=1.5, metadata=schema(min=0.1))
