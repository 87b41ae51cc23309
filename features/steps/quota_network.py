"""A network between quota limiters, with delays, cuts, deaths and suspended hosts."""

import asyncio
import random

_ZONE_DELAY_S = 0.0054
_REGION_DELAY_S = 0.012
_LAG_S = (0.0005, 0.01)


class QuotaNetwork:
    """Delivers messages between hosts, unless they are cut off from each other or dead.

    ``side_by_host`` maps a host to its side of a partition.
    """

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.ends_by_host = {}
        self.side_by_host = {}
        self.suspended = {}
        self.sent = 0
        self.extra_delay_s = 0

    def end(self, host, zone):
        end = NetworkEnd(self, host, zone)
        self.ends_by_host[host] = end
        return end

    def remove(self, host):
        del self.ends_by_host[host]

    def connected(self, one, other):
        return self.side_by_host.get(one) == self.side_by_host.get(other)

    def resume(self, host):
        """Deliver what reached a suspended host and what it had sent."""
        for call in self.suspended.pop(host):
            call()

    def post(self, sender, receiver, message):
        if sender in self.suspended:
            self.suspended[sender].append(lambda: self.post(sender, receiver, message))
            return
        ends = self.ends_by_host
        self.sent += 1
        if sender not in ends or receiver not in ends or not self.connected(sender, receiver):
            return
        one, other = ends[sender].zone, ends[receiver].zone
        delay_s = _ZONE_DELAY_S if one[0] == other[0] else _REGION_DELAY_S
        if one == other:
            delay_s = 0
        delay_s += self.random.uniform(*_LAG_S) + self.random.uniform(0, self.extra_delay_s)
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, ends[receiver], sender, message)

    def _deliver(self, end, sender, message):
        if end.host in self.suspended:
            self.suspended[end.host].append(lambda: self._deliver(end, sender, message))
        elif self.ends_by_host.get(end.host) is end and self.connected(sender, end.host):
            end.receivers[type(message)](sender, message)


class NetworkEnd:
    """Implements ``Network`` for one host."""

    def __init__(self, network, host, zone):
        self.network = network
        self.host = host
        self.zone = zone
        self.receivers = {}

    async def send(self, host, message):
        self.network.post(self.host, host, message)
        return True

    def subscribe(self, kind, receive):
        self.receivers[kind] = receive
