"""Tells other hosts this host's evidence about a trial."""

import random
from typing import TYPE_CHECKING

from balsamrail.configuration.living_members import LivingMembers
from balsamrail.configuration.trial_evidence import TrialEvidence
from balsamrail.environment import Environment
from balsamrail.messages import TrialCounters, encode_message

if TYPE_CHECKING:
    from balsamrail.membership.network import Network

_SHORTEST_INTERVAL_S = 1
# Half of the 3 KB/s that control may cost a host; heartbeats and records need the rest.
_BYTES_PER_S = 1_500
# Topic and version, which are sent along with a flooded message.
_FLOOD_HEADER_BYTES = 96
# A flooded message reaches a host once over each of its streams at worst.
_COPIES = 6


class CountersFlood:
    """Floods counters at an interval that grows with the number of members.

    :param bytes_per_s: what a host may receive of all other hosts' counters.
    """

    __slots__ = ('_bytes_per_s', '_environment', '_flood_at', '_members', '_network')

    def __init__(
        self,
        *,
        environment: Environment,
        network: 'Network',
        members: LivingMembers,
        bytes_per_s: int = _BYTES_PER_S,
    ) -> None:
        self._environment = environment
        self._network = network
        self._members = members
        self._bytes_per_s = bytes_per_s
        self._flood_at: float = 0

    def begin(self, evidence: TrialEvidence) -> None:
        """Begin with a new trial.

        Hosts learn of it at the same moment, so they take turns over the first interval.
        """
        interval_s = self._interval_s(self._counters(evidence))
        self._flood_at = self._environment.clock.monotonic() + random.random() * interval_s

    def flood(self, evidence: TrialEvidence) -> None:
        """Flood the counters, if it is time and there are any."""
        now = self._environment.clock.monotonic()
        if now < self._flood_at:
            return
        message = self._counters(evidence)
        self._flood_at = now + self._interval_s(message)
        requests = evidence.candidate.requests + evidence.accepted.requests
        if requests:
            self._network.flood(
                message,
                topic=f'trial/{message.host}',
                version=(message.incarnation, message.revision, requests),
            )

    def _counters(self, evidence: TrialEvidence) -> TrialCounters:
        return TrialCounters(
            revision=evidence.revision,
            host=self._environment.settings.host,
            incarnation=self._environment.incarnation,
            candidate=evidence.candidate.cells(),
            accepted=evidence.accepted.cells(),
        )

    def _interval_s(self, message: TrialCounters) -> float:
        size = len(encode_message(message)) + _FLOOD_HEADER_BYTES
        senders = len(self._members.alive())
        return max(_SHORTEST_INTERVAL_S, senders * size * _COPIES / self._bytes_per_s)
