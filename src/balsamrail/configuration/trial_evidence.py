"""What is known about one trial."""

from balsamrail.configuration.trial import Trial
from balsamrail.configuration.trial_arm import TrialArm
from balsamrail.messages import TrialCounters

_CELLS = 3


class TrialEvidence:
    """Counters of both arms, of this host and of the others, for one candidate.

    :param revision: the candidate's revision.
    :param accepted_revision: the revision that it is compared with.
    :param since: when this host learned of the trial, in seconds of the loop's time.
    """

    __slots__ = (
        '_other_by_holder',
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
        self._other_by_holder: dict[str, TrialCounters] = {}

    def observe(self, *, revision: int, failed: bool, latency_s: float) -> None:
        """Count one request of this host; requests of other revisions belong to no arm."""
        if revision == self.revision:
            self.candidate.observe(failed=failed, latency_s=latency_s)
        elif revision == self.accepted_revision:
            self.accepted.observe(failed=failed, latency_s=latency_s)

    def receive(self, message: TrialCounters) -> None:
        """Take over another host's counters. They only grow, so an older message is ignored."""
        cells = (message.candidate, message.accepted)
        if message.revision != self.revision or any(len(arm) != _CELLS for arm in cells):
            return
        holder = f'{message.host}@{message.incarnation}'
        known = self._other_by_holder.get(holder)
        if known is None or _requests(known) < _requests(message):
            self._other_by_holder[holder] = message

    def fault(self, trial: Trial) -> str | None:
        """Return which measure worsened, ``None`` if none did or too few requests are known."""
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
        """Return the candidate's and the accepted declaration's counters of all known hosts."""
        candidate, accepted = TrialArm(), TrialArm()
        candidate.add(self.candidate.cells())
        accepted.add(self.accepted.cells())
        for message in self._other_by_holder.values():
            candidate.add(message.candidate)
            accepted.add(message.accepted)
        return candidate, accepted


def _requests(message: TrialCounters) -> int:
    return message.candidate[0] + message.accepted[0]
