"""Rate limit for targets that are warming up."""

import math
from collections import deque

from balsamrail.placement.rendezvous_hashing import hash_text, mix_hashes

# The fraction of the limit that is used, since hosts may disagree on the number of hosts.
_USED_FRACTION = 0.8
# Longer than the one second of the limit, since network delays may move requests closer together.
_WINDOW_S = 1.15


class WarmupLimiter:
    """Divides the request rate that a cold target tolerates among the hosts without coordination.

    Each host gets an equal share. If there are more hosts than requests per second, rendezvous
    hashing selects the hosts that may send one request each. Unreachable hosts have to be counted
    too, since they may still be sending.

    :param own_host: the name of this host.
    """

    __slots__ = ('_hosts', '_own_host', '_sent_by_target')

    def __init__(self, *, own_host: str) -> None:
        self._own_host = own_host
        self._hosts: tuple[str, ...] = ()
        self._sent_by_target: dict[str, deque[float]] = {}

    def set_hosts(self, hosts: frozenset[str]) -> None:
        """Replace the set of all hosts that may send requests."""
        self._hosts = tuple(sorted(hosts | {self._own_host}))

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
        if not self._hosts:
            return 0
        budget = math.floor(per_s * _USED_FRACTION)
        if len(self._hosts) <= budget:
            return budget // len(self._hosts)
        target_hash = hash_text(target_id)
        own = mix_hashes(hash_text(self._own_host), target_hash)
        ahead = sum(mix_hashes(hash_text(host), target_hash) > own for host in self._hosts)
        return 1 if ahead < budget else 0
