"""Checks the promises to customers: their keys, and the quota of one."""

from collections.abc import Iterator

from tools.soak.arrival import Arrival
from tools.soak.customers import BURST, LIMITED, RATE_PER_S, KeyPeriod
from tools.soak.history import History, Sent
from tools.soak.soak_host import BOUNDS

# Allowance for the delivery of a request and its processing in this process.
_SLACK_S = 0.25
_UNAUTHORIZED = 401
_REVOKE_S = float(BOUNDS['revoke_s'])
_WINDOW_S = float(BOUNDS['quota_window_s'])
_QUOTA = RATE_PER_S * _WINDOW_S + BURST
_MOST_IN_WINDOW = _QUOTA * (1 + float(BOUNDS['quota_overage'])) + float(BOUNDS['quota_slack'])


def violations_towards_customers(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    """Yield one line for each broken promise."""
    period_by_key = {period.key: period for period in history.key_periods}
    for run in history.runs():
        sent = sent_by_id.get(run.request_id)
        if sent is not None:
            yield from _run(run, sent, period_by_key)
    yield from _quota(history, sent_by_id)


def is_denial_allowed(history: History, sent: Sent) -> bool:
    """Return whether a host may not have known the key of a request.

    A host serves nothing by a manifest that is older than the bound on withdrawals, so that it
    rejects no key that was added before.
    """
    if sent.status != _UNAUTHORIZED:
        return False
    period = {period.key: period for period in history.key_periods}[sent.key]
    return sent.sent_at < period.begin + _REVOKE_S + _SLACK_S or sent.ended_at > period.end


def _run(run: Arrival, sent: Sent, period_by_key: dict[str, KeyPeriod]) -> Iterator[str]:
    told = f'{run.request_id} from {sent.host}'
    if run.has_key:
        yield f'KEY {run.target_id} got the key of {told}'
    if run.customer != sent.customer:
        yield f'CUSTOMER {run.target_id} got {told} for {run.customer!r} of {sent.customer!r}'
    period = period_by_key.get(sent.key)
    late_s = sent.sent_at - period.end - _REVOKE_S - _SLACK_S if period else 0
    if late_s > 0:
        yield f'REVOKED {told} ran, with a key that was withdrawn, {late_s:.2f} s late'


def _quota(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    """Check all windows that end with a run; attempts of one request count once."""
    first_by_id: dict[str, float] = {}
    for run in history.runs():
        if run.customer == LIMITED and run.request_id in sent_by_id:
            first_by_id.setdefault(run.request_id, run.arrived_at)
    times = sorted(first_by_id.values())
    begin = 0
    for end, at in enumerate(times):
        while times[begin] <= at - _WINDOW_S:
            begin += 1
        count = end - begin + 1
        if count > _MOST_IN_WINDOW:
            yield f'QUOTA {count} requests of {LIMITED} ran in the {_WINDOW_S} s before {at:.2f}'
            return
