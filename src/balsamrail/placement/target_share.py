"""A host's part of the request rate that a target has named."""

import math
from dataclasses import dataclass

from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.share_division import ShareDivision

# A target gets at most this multiple of its limit in a window, and this number of requests more.
_WINDOW_S = 4.0
_OVERAGE = 1.5
_SLACK_REQUESTS = 5
# The fractions of the limit, and of what the target tolerates beyond it, that all hosts together
# use, since they may disagree on the number of hosts. The rest of the limit is left to hosts
# without a share, which ask now and then.
_RATE_FRACTION = 0.85
_BURST_FRACTION = 0.8
_ASKING_FRACTION = 0.1
# A higher limit does not bind.
_MAX_LIMIT_PER_S = 1e6
# All hosts together ask a target at least this often, whatever its limit, so that its end is heard.
_MIN_ASKING_PER_S = 0.2


@dataclass(slots=True, kw_only=True, frozen=True)
class TargetShare:
    """What one host may send to a target with a limit.

    :param per_s: the mean number of requests per second.
    :param capacity: how many requests the host may send at once, 0 for a host without a share: it
        sends single requests, at times that differ from host to host.
    """

    per_s: float
    capacity: int

    @classmethod
    def of(
        cls, fleet: FleetHosts, *, target_id: str, region: str, limit_per_s: float
    ) -> 'TargetShare':
        """Return the share of this host, which all hosts compute without asking each other.

        Every host with a share may send one request in any window, however small its rate, so that
        only as many hosts get one as the target tolerates beyond its limit. Hosts near the target
        come first and get larger shares; among equals, rendezvous hashing selects.

        :param region: the region of the target.
        :param limit_per_s: the limit for all hosts together.
        """
        limit_per_s = min(limit_per_s, _MAX_LIMIT_PER_S)
        asking_per_s = max(limit_per_s * _ASKING_FRACTION, _MIN_ASKING_PER_S)
        if limit_per_s < _MIN_ASKING_PER_S:
            return cls(per_s=asking_per_s / max(1, len(fleet.names)), capacity=0)
        division = ShareDivision.of(
            fleet.split_by_region(region),
            burst=math.floor(
                _BURST_FRACTION * ((_OVERAGE - 1) * limit_per_s * _WINDOW_S + _SLACK_REQUESTS)
            ),
        )
        is_near = fleet.own_host in division.near
        hosts, count = division.group(is_near=is_near)
        if fleet.hosts_ahead(target_id, hosts) >= count:
            others = len(fleet.names) - division.near_count - division.far_count
            return cls(per_s=asking_per_s / max(1, others), capacity=0)
        return cls(
            per_s=limit_per_s * _RATE_FRACTION * division.weight(is_near=is_near),
            capacity=1 + division.extra_requests(is_near=is_near),
        )
