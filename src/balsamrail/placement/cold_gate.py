"""Limits what a cold target gets."""

import math
from collections import deque

from balsamrail.placement.ranking import hash_text, mixed

# The part of the bound that is used, since hosts may not agree on how many they are.
_USED_PART = 0.8
# A little more than the second of the bound, since requests may draw closer on their way.
_WINDOW_S = 1.15


class ColdGate:
    """Spreads the rate that a cold target tolerates over the hosts without talk among them.

    Each host takes an equal part. When there are more hosts than requests in a second, those
    that rendezvous hashing names take one each. The number of hosts has to include those that
    cannot be reached, since they may go on sending.

    :param own_host: the name of this host.
    """

    __slots__ = ('_hosts', '_own_host', '_sent_by_target')

    def __init__(self, *, own_host: str) -> None:
        self._own_host = own_host
        self._hosts: tuple[str, ...] = ()
        self._sent_by_target: dict[str, deque[float]] = {}

    def set_hosts(self, hosts: frozenset[str]) -> None:
        """Take the names of all hosts that may send."""
        self._hosts = tuple(sorted(hosts | {self._own_host}))

    def is_open(self, target_id: str, *, per_s: float, now: float) -> bool:
        """Return whether this host may send a request to a cold target now.

        :param per_s: the bound on the requests of all hosts in a second.
        """
        sent = self._sent_by_target.get(target_id)
        if sent is None:
            sent = self._sent_by_target[target_id] = deque()
        while sent and sent[0] <= now - _WINDOW_S:
            sent.popleft()
        return len(sent) < self._allowance(target_id, per_s)

    def note_sent(self, target_id: str, *, now: float) -> None:
        """Count a request that is sent to a cold target."""
        self._sent_by_target.setdefault(target_id, deque()).append(now)

    def forget(self, target_id: str) -> None:
        """Drop the counts of a target that is gone."""
        self._sent_by_target.pop(target_id, None)

    def _allowance(self, target_id: str, per_s: float) -> int:
        if not self._hosts:
            return 0
        budget = math.floor(per_s * _USED_PART)
        if len(self._hosts) <= budget:
            return budget // len(self._hosts)
        target_hash = hash_text(target_id)
        own = mixed(hash_text(self._own_host), target_hash)
        ahead = sum(mixed(hash_text(host), target_hash) > own for host in self._hosts)
        return 1 if ahead < budget else 0
