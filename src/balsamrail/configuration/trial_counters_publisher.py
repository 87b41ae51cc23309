"""Publishes this host's trial counters to the other hosts."""

import random
from typing import TYPE_CHECKING

from balsamrail.configuration.alive_members import AliveMembers
from balsamrail.configuration.trial_statistics import TrialStatistics
from balsamrail.environment import Environment
from balsamrail.messages import TrialCounters, encode_message

if TYPE_CHECKING:
    from balsamrail.membership.network import Network

_MIN_INTERVAL_S = 1
# Half of the 3 KB/s that control traffic may use per host; the rest is for heartbeats and records.
_MAX_BYTES_PER_S = 1_500
# Size of the topic and version that accompany a flooded message.
_FLOOD_HEADER_BYTES = 96
# In the worst case a host receives a flooded message once on each of its peer streams.
_MAX_COPIES = 6


class TrialCountersPublisher:
    """Floods trial counters at an interval proportional to the number of members.

    :param bytes_per_s: the maximum rate at which a host receives the counters of all other hosts.
    """

    __slots__ = ('_bytes_per_s', '_environment', '_members', '_network', '_next_publish_at')

    def __init__(
        self,
        *,
        environment: Environment,
        network: 'Network',
        members: AliveMembers,
        bytes_per_s: int = _MAX_BYTES_PER_S,
    ) -> None:
        self._environment = environment
        self._network = network
        self._members = members
        self._bytes_per_s = bytes_per_s
        self._next_publish_at: float = 0

    def start_trial(self, statistics: TrialStatistics) -> None:
        """Schedule the first message of a new trial.

        All hosts learn of a trial at about the same time, so a random delay spreads their first
        messages over one interval.
        """
        interval_s = self._interval_s(self._counters(statistics))
        self._next_publish_at = self._environment.clock.monotonic() + random.random() * interval_s

    def publish(self, statistics: TrialStatistics) -> None:
        """Flood the counters if the interval has elapsed and there are requests to report."""
        now = self._environment.clock.monotonic()
        if now < self._next_publish_at:
            return
        message = self._counters(statistics)
        self._next_publish_at = now + self._interval_s(message)
        requests = statistics.candidate.requests + statistics.accepted.requests
        if requests:
            self._network.flood(
                message,
                topic=f'trial/{message.host}',
                version=(message.incarnation, message.revision, requests),
            )

    def _counters(self, statistics: TrialStatistics) -> TrialCounters:
        return TrialCounters(
            revision=statistics.revision,
            host=self._environment.settings.host,
            incarnation=self._environment.incarnation,
            candidate=statistics.candidate.counters(),
            accepted=statistics.accepted.counters(),
        )

    def _interval_s(self, message: TrialCounters) -> float:
        size = len(encode_message(message)) + _FLOOD_HEADER_BYTES
        senders = len(self._members.alive())
        return max(_MIN_INTERVAL_S, senders * size * _MAX_COPIES / self._bytes_per_s)
