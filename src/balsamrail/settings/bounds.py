"""What the operators were promised."""

from dataclasses import dataclass, field

from apischema import schema

_POSITIVE = schema(min=0)


@dataclass(slots=True, kw_only=True, frozen=True)
class Bounds:
    """Bounds that the fleet keeps to; durations are in seconds.

    :param contact_s: for how long a host runs undisturbed before the bounds hold for it.
    :param drain_s: until a leaving target gets nothing more.
    :param config_apply_s: until an accepted manifest is in force.
    :param evacuate_s: until an evacuated availability zone gets nothing more.
    :param stop_grace_s: from SIGTERM to SIGKILL.
    :param retry_ratio: second attempts for each request, over all hosts and ``retry_window_s``.
    :param retry_slack: second attempts allowed beyond that.
    :param cold_overage: the factor on the rate that a cold target tolerates.
    :param cold_slack: requests a second allowed beyond that, over all hosts.
    :param lookup_ttl_s: the longest time that a look-up may be kept.
    :param max_shift: the part of a region's requests that may change region within two seconds.
    """

    contact_s: float = field(default=3, metadata=_POSITIVE)
    drain_s: float = field(default=2, metadata=_POSITIVE)
    config_apply_s: float = field(default=2, metadata=_POSITIVE)
    evacuate_s: float = field(default=5, metadata=_POSITIVE)
    stop_grace_s: float = field(default=6, metadata=_POSITIVE)
    retry_ratio: float = field(default=0.2, metadata=_POSITIVE)
    retry_slack: float = field(default=0, metadata=_POSITIVE)
    retry_window_s: float = field(default=10, metadata=_POSITIVE)
    cold_overage: float = field(default=1, metadata=_POSITIVE)
    cold_slack: float = field(default=0, metadata=_POSITIVE)
    lookup_ttl_s: float = field(default=5, metadata=_POSITIVE)
    max_shift: float = field(default=1, metadata=_POSITIVE)
