"""Service levels promised to the operators."""

from dataclasses import dataclass, field

from apischema import schema

_NON_NEGATIVE = schema(min=0)


@dataclass(slots=True, kw_only=True, frozen=True)
class Bounds:
    """Bounds that the fleet guarantees; durations are in seconds.

    :param contact_s: uninterrupted operation of a host after which the bounds apply to it.
    :param drain_s: maximum time until a leaving target receives no more requests.
    :param config_apply_s: maximum time until an accepted manifest is in force.
    :param evacuate_s: maximum time until an evacuated availability zone receives no more requests.
    :param stop_grace_s: time from SIGTERM to SIGKILL.
    :param retry_ratio: maximum second attempts per request, over all hosts and ``retry_window_s``.
    :param retry_slack: second attempts allowed beyond ``retry_ratio``.
    :param retry_window_s: window in which second attempts are counted.
    :param cold_overage: factor on the request rate that a cold target tolerates.
    :param cold_slack: requests per second allowed beyond that, over all hosts.
    :param lookup_ttl_s: maximum time that a lookup may be cached.
    :param max_shift: maximum fraction of a region's requests that may change region within two
        seconds.
    :param revoke_s: maximum time until a withdrawn API key is refused by every host, also by those
        that have lost the store; ``None`` if such hosts may still accept it.
    :param quota_window_s: length of each window in which the requests of a customer are counted.
    :param quota_overage: fraction of a customer's quota that may run beyond it.
    :param quota_slack: requests of a customer that may run beyond that, in each window.
    """

    contact_s: float = field(default=3, metadata=_NON_NEGATIVE)
    drain_s: float = field(default=2, metadata=_NON_NEGATIVE)
    config_apply_s: float = field(default=2, metadata=_NON_NEGATIVE)
    evacuate_s: float = field(default=5, metadata=_NON_NEGATIVE)
    stop_grace_s: float = field(default=6, metadata=_NON_NEGATIVE)
    retry_ratio: float = field(default=0.2, metadata=_NON_NEGATIVE)
    retry_slack: float = field(default=0, metadata=_NON_NEGATIVE)
    retry_window_s: float = field(default=10, metadata=_NON_NEGATIVE)
    cold_overage: float = field(default=1, metadata=_NON_NEGATIVE)
    cold_slack: float = field(default=0, metadata=_NON_NEGATIVE)
    lookup_ttl_s: float = field(default=5, metadata=_NON_NEGATIVE)
    max_shift: float = field(default=1, metadata=_NON_NEGATIVE)
    revoke_s: float | None = field(default=None, metadata=_NON_NEGATIVE)
    quota_window_s: float = field(default=5, metadata=schema(min=0.1))
    quota_overage: float = field(default=0, metadata=_NON_NEGATIVE)
    quota_slack: float = field(default=0, metadata=_NON_NEGATIVE)
