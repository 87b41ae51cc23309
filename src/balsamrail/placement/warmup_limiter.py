"""Rate limit for targets that are warming up."""

import math
from collections import deque

from balsamrail.placement.fleet_hosts import FleetHosts

# The fraction of the limit that is used, since hosts may disagree on the number of hosts.
_USED_FRACTION = 0.8
# Longer than the one second of the limit, since network delays may move requests closer together.
_WINDOW_S = 1.15


class WarmupLimiter:
    """Divides the request rate that a cold target tolerates among the hosts without coordination.

    Each host gets an equal share. If there are more hosts than requests per second, rendezvous
    hashing selects the hosts that may send one request each.

    :param fleet: the hosts that share the rate.
    """

    __slots__ = ('_fleet', '_sent_by_target')

    def __init__(self, *, fleet: FleetHosts) -> None:
        self._fleet = fleet
        self._sent_by_target: dict[str, deque[float]] = {}

    def allows(self, target_id: str, *, per_s: float, now: float) -> bool:
        """Return whether this host may send a request to a cold target now.

        :param per_s: the limit on the requests per second from all hosts together.
        """
        sent = self._sent_by_target.get(target_id)
        if sent is None:
            sent = self._sent_by_target[target_id] = deque()
        while sent and sent[0] <= now - _WINDOW_S:
            sent.popleft()
        return len(sent) < self._quota(target_id, per_s)

    def record_sent(self, target_id: str, *, now: float) -> None:
        """Count a request to a cold target."""
        self._sent_by_target.setdefault(target_id, deque()).append(now)

    def forget(self, target_id: str) -> None:
        """Discard the counts of a deregistered target."""
        self._sent_by_target.pop(target_id, None)

    def _quota(self, target_id: str, per_s: float) -> int:
        hosts = self._fleet.names
        if not hosts:
            return 0
        budget = math.floor(per_s * _USED_FRACTION)
        if len(hosts) <= budget:
            return budget // len(hosts)
        return 1 if self._fleet.hosts_ahead(target_id, hosts) < budget else 0
