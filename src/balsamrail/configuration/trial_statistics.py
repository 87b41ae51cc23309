"""Statistics of one trial."""

from balsamrail.configuration.trial import Trial
from balsamrail.configuration.trial_arm import TrialArm
from balsamrail.messages import TrialCounters

_COUNTERS_PER_ARM = 3


class TrialStatistics:
    """Counters of both arms of a trial, from this host and from the other hosts.

    :param revision: the candidate's revision.
    :param accepted_revision: the revision that the candidate is compared with.
    :param since: when this host learned of the trial, on the monotonic clock in seconds.
    """

    __slots__ = (
        '_counters_by_holder',
        'accepted',
        'accepted_revision',
        'candidate',
        'revision',
        'since',
    )

    def __init__(self, *, revision: int, accepted_revision: int, since: float) -> None:
        self.revision = revision
        self.accepted_revision = accepted_revision
        self.since = since
        self.candidate = TrialArm()
        self.accepted = TrialArm()
        self._counters_by_holder: dict[str, TrialCounters] = {}

    def observe(self, *, revision: int, failed: bool, latency_s: float) -> None:
        """Count one request of this host; requests of other revisions are ignored."""
        if revision == self.revision:
            self.candidate.observe(failed=failed, latency_s=latency_s)
        elif revision == self.accepted_revision:
            self.accepted.observe(failed=failed, latency_s=latency_s)

    def receive(self, message: TrialCounters) -> None:
        """Store another host's counters. Counters only grow, so older messages are ignored."""
        arms = (message.candidate, message.accepted)
        if message.revision != self.revision or any(len(arm) != _COUNTERS_PER_ARM for arm in arms):
            return
        holder = f'{message.host}@{message.incarnation}'
        known = self._counters_by_holder.get(holder)
        if known is None or _total_requests(known) < _total_requests(message):
            self._counters_by_holder[holder] = message

    def stop_reason(self, trial: Trial) -> str | None:
        """Return the metric that exceeds its limit.

        ``None`` if there is none or the number of requests is too low.
        """
        candidate, accepted = self.totals()
        if candidate.requests < trial.min_requests:
            return None
        if candidate.error_ratio > trial.error_ratio_above:
            return (
                f'error ratio {candidate.error_ratio:.4f} above {trial.error_ratio_above} '
                f'after {candidate.requests} requests'
            )
        limit_s = accepted.mean_latency_s * trial.latency_ratio_above
        if accepted.requests >= trial.min_requests and candidate.mean_latency_s > limit_s:
            return (
                f'mean latency {candidate.mean_latency_s:.4f} s above {limit_s:.4f} s '
                f'after {candidate.requests} requests'
            )
        return None

    def totals(self) -> tuple[TrialArm, TrialArm]:
        """Return the counters of the candidate and of the accepted declaration over all hosts."""
        candidate, accepted = TrialArm(), TrialArm()
        candidate.add(self.candidate.counters())
        accepted.add(self.accepted.counters())
        for message in self._counters_by_holder.values():
            candidate.add(message.candidate)
            accepted.add(message.accepted)
        return candidate, accepted


def _total_requests(message: TrialCounters) -> int:
    return message.candidate[0] + message.accepted[0]
