"""Checks the promises towards targets that leave, refuse or send endless responses."""

from collections import defaultdict
from collections.abc import Iterator

from tools.soak.arrival import Arrival
from tools.soak.deployment import ROUTE_TIMEOUT_S
from tools.soak.history import History, Sent
from tools.soak.soak_host import BOUNDS

# Allowance for the delivery of a response and its processing in this process.
_SLACK_S = 0.25
_DRAIN_S = float(BOUNDS['drain_s'])
# Requests in flight at the time of a refusal may still reach the target.
_IN_FLIGHT_S = 0.5
_TRIES_WHILE_REFUSING = 2
# A host answers its caller and closes an endless response within 0.5 s after the route timeout.
_LONGEST_S = ROUTE_TIMEOUT_S + 0.5 + _SLACK_S
_WINDOW_S = 2.0
_LEAST_REQUESTS = 10


def violations_towards_targets(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    """Yield one line for each broken promise."""
    arrivals_by_pair: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        if arrival.request_id in sent_by_id:
            host = sent_by_id[arrival.request_id].host
            arrivals_by_pair[host, arrival.start].append(arrival)
    for (host, start), arrivals in arrivals_by_pair.items():
        sent = [sent_by_id[arrival.request_id] for arrival in arrivals]
        yield from _leaving(history, host, arrivals, sent)
        yield from _refusing(history, host, start, arrivals)
    yield from _endless(history, sent_by_id)
    yield from _beside_endless(history, sent_by_id)


def _leaving(
    history: History, host: str, arrivals: list[Arrival], sent: list[Sent]
) -> Iterator[str]:
    passed_on = [
        one.ended_at
        for one, arrival in zip(sent, arrivals, strict=True)
        if arrival.is_leaving and one.answered_by == arrival.start and one.ended_at
    ]
    late: list[str] = []
    for one, arrival in zip(sent, arrivals, strict=True):
        due = [at for at in passed_on if one.sent_at - at > _DRAIN_S + _SLACK_S]
        # A host loses announcements in a restart, so only those received since then count.
        bound_since = [at for at in due if history.ran_uninterrupted(host, at, arrival.arrived_at)]
        if bound_since:
            late_s = one.sent_at - min(bound_since) - _DRAIN_S
            late.append(f'{one.request_id} {late_s:.2f} s late')
    if late:
        yield f'LEAVING {arrivals[0].start} got {len(late)} requests from {host}: {late[0]}'


def _refusing(history: History, host: str, start: str, arrivals: list[Arrival]) -> Iterator[str]:
    worst: list[str] = []
    asked = ''
    for refusal in arrivals:
        if refusal.refused_for_s is None:
            continue
        begin = refusal.answered_at + _IN_FLIGHT_S + _SLACK_S
        begin += history.waited_s(host, refusal.answered_at, begin)
        end = refusal.answered_at + refusal.refused_for_s
        tries = [one.request_id for one in arrivals if begin < one.arrived_at < end]
        is_told = not history.was_disturbed(refusal.target_id, refusal.answered_at)
        if is_told and len(tries) > max(_TRIES_WHILE_REFUSING, len(worst)):
            if history.ran_uninterrupted(host, refusal.answered_at, end):
                worst = tries
                asked = f'{refusal.refused_for_s:.2f} s from {refusal.answered_at:.2f}'
    if worst:
        yield f'REFUSING {start} asked {host} for {asked} and got {len(worst)}: {worst[:4]}'


def _endless(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    for stream in history.streams:
        sent = sent_by_id.get(stream.request_id)
        if sent is None:
            continue
        told = f'{stream.request_id} by {sent.host} ({stream.form}, dripping {stream.is_dripping})'
        if not stream.is_whole() and sent.told == 'done' and sent.answered_by == stream.start:
            yield f'ENDLESS {told} was answered with success'
        if stream.is_lost or not history.ran_uninterrupted(sent.host, sent.sent_at, stream.end):
            continue
        if _is_late(history, sent.host, stream.begin, stream.end):
            open_s = stream.end - stream.begin
            yield f'ENDLESS {told} was kept open for {open_s:.2f} s'
        if _is_late(history, sent.host, sent.sent_at, sent.ended_at):
            waited_s = sent.ended_at - sent.sent_at
            yield f'ENDLESS {told} was told {sent.told} after {waited_s:.2f} s'


def _is_late(history: History, host: str, begin: float, end: float) -> bool:
    allowed_s = _LONGEST_S + history.waited_s(host, begin, end)
    return allowed_s < end - begin < float('inf')


def _beside_endless(history: History, sent_by_id: dict[str, Sent]) -> Iterator[str]:
    """Check the other requests at hosts that receive endless responses."""
    reading = {
        (sent_by_id[stream.request_id].host, stream.begin // _WINDOW_S)
        for stream in history.streams
        if stream.request_id in sent_by_id
    }
    endless = {stream.request_id for stream in history.streams}
    others_by_window: dict[tuple[str, float], list[Sent]] = defaultdict(list)
    for sent in history.sent:
        window = (sent.host, sent.sent_at // _WINDOW_S)
        if window in reading and sent.ended_at and sent.request_id not in endless:
            others_by_window[window].append(sent)
    for (host, number), others in others_by_window.items():
        cut = sum(sent.told == 'cut' for sent in others)
        if len(others) < _LEAST_REQUESTS or 2 * cut <= len(others):
            continue
        end = max(sent.ended_at for sent in others)
        if history.ran_uninterrupted(host, number * _WINDOW_S, end):
            yield f'ENDLESS {cut} of {len(others)} others at {host} got no answer'
