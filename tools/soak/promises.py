"""Checks the promises against the recorded outcomes of callers and actions of targets."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from tools.soak.arrival import Arrival
from tools.soak.customer_promises import is_denial_allowed, violations_towards_customers
from tools.soak.customers import LIMITED
from tools.soak.history import History, Sent
from tools.soak.soak_host import BOUNDS
from tools.soak.target_promises import violations_towards_targets

# Allowance for the delivery of a response and its processing in this process.
_SLACK_S = 0.25
_CONTACT_S = float(BOUNDS['contact_s'])


def broken(history: History) -> list[str]:
    """Return one line for each broken promise."""
    runs_by_id: dict[str, list[Arrival]] = defaultdict(list)
    for run in history.runs():
        runs_by_id[run.request_id].append(run)
    sent_by_id = {sent.request_id: sent for sent in history.sent}
    return [
        *_answers(history, runs_by_id),
        *_unrequested(history, sent_by_id),
        *_leaving(history, sent_by_id),
        *_manifests(history, sent_by_id),
        *_evacuations(history, sent_by_id),
        *_stops(history, runs_by_id),
        *violations_towards_targets(history, sent_by_id),
        *violations_towards_customers(history, sent_by_id),
    ]


def _answers(history: History, runs_by_id: dict[str, list[Arrival]]) -> Iterator[str]:
    for sent in history.sent:
        count = len(runs_by_id[sent.request_id])
        if sent.fault:
            yield f'MIXED {sent.request_id} by {sent.host}: {sent.fault}'
        if not sent.is_idempotent and count > 1:
            yield f'TWICE {sent.request_id} ran {count} times, told {sent.told}'
        if not sent.is_idempotent and sent.told == 'refused' and count:
            yield f'REFUSED {sent.request_id} was told {sent.status} by {sent.host} and ran'
        if sent.told == 'denied' and not is_denial_allowed(history, sent):
            yield f'DENIED {sent.request_id} was told {sent.status} by {sent.host}'


def _unrequested(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    for run in history.runs():
        sent = sent_by_id.get(run.request_id)
        if sent is None or sent.path != run.path:
            yield f'UNASKED {run.target_id} ran {run.request_id} {run.path}'


def _leaving(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    for run in history.runs():
        left_at = history.leaving.get(run.target_id)
        sent = sent_by_id.get(run.request_id)
        if left_at is None or sent is None:
            continue
        late_s = run.arrived_at - left_at - float(BOUNDS['drain_s']) - _SLACK_S
        if late_s > 0 and history.is_undisturbed(sent.host, left_at - _CONTACT_S, run.arrived_at):
            yield f'DRAIN {run.target_id} got {run.request_id} from {sent.host} {late_s:.2f} s late'


def _manifests(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    for run in history.runs():
        sent = sent_by_id.get(run.request_id)
        if sent is None or not run.path.startswith('/read/'):
            continue
        if run.service not in {service for _, service in history.manifests}:
            yield f'ROUTE {run.request_id} ran at {run.service}'
        latest = sent.sent_at - float(BOUNDS['config_apply_s']) - _SLACK_S
        due = [entry for entry in history.manifests if entry[0] <= latest]
        allowed = {service for at, service in history.manifests if at > latest}
        if due:
            allowed.add(due[-1][1])
        if run.service in allowed or not due:
            continue
        if history.is_undisturbed(sent.host, due[-1][0] - _CONTACT_S, run.arrived_at):
            yield f'CONFIG {run.request_id} by {sent.host} ran at {run.service}, due {due[-1][1]}'


def _evacuations(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    for run in history.runs():
        sent = sent_by_id.get(run.request_id)
        zone = history.zone_by_target.get(run.target_id)
        for span in history.evacuated:
            late_s = run.arrived_at - span.begin - float(BOUNDS['evacuate_s']) - _SLACK_S
            if span.host != zone or sent is None or late_s < 0 or run.arrived_at > span.end:
                continue
            if history.is_undisturbed(sent.host, span.begin - _CONTACT_S, run.arrived_at):
                yield f'EVAC {run.target_id} in {zone} got {run.request_id} {late_s:.2f} s late'


def _stops(history: History, runs_by_id: dict[str, list[Arrival]]) -> Iterator[str]:
    """Requests that were cut off by a planned stop."""
    for stop in history.stops:
        for sent in history.sent:
            if sent.host != stop.host or sent.told != 'cut' or not sent.ended_at:
                continue
            is_within = stop.begin <= sent.ended_at <= stop.end + 1
            if not is_within or not runs_by_id[sent.request_id]:
                continue
            if history.is_undisturbed(sent.host, stop.begin - _CONTACT_S, sent.ended_at):
                yield f'LOST {sent.request_id} at the stop of {sent.host}'


def outcomes(history: History) -> dict[str, int]:
    """Return the number of requests by outcome and of announcements by targets."""
    return {
        **Counter(sent.told for sent in history.sent),
        'said leaving': sum(arrival.is_leaving for arrival in history.arrivals),
        'said later': sum(arrival.refused_for_s is not None for arrival in history.arrivals),
        'endless': len(history.streams),
    }


def served_share(history: History, since: float, until: float) -> float:
    """Return the fraction of the requests sent in a time span that succeeded.

    Without those of the customer that sends more than its quota, and those with keys that hosts
    rejected.
    """
    found = [
        sent
        for sent in history.sent
        if since <= sent.sent_at <= until
        and sent.customer != LIMITED
        and not (sent.told == 'denied' and is_denial_allowed(history, sent))
    ]
    return sum(sent.told == 'done' for sent in found) / max(1, len(found))
