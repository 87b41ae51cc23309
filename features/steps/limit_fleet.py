"""A play of hosts that send requests to targets with limits, on a simulated clock."""

import heapq
import itertools
from collections import defaultdict

from placement_parts import make_entry

from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.target_availability import MIN_LIMIT_AGE_S
from balsamrail.placement.target_rate_limiter import TargetRateLimiter
from balsamrail.placement.target_state import TargetState

REGIONS = ('attiki', 'makedonia', 'kriti')
ZONE_BY_REGION = {'attiki': 'attiki-a', 'makedonia': 'makedonia-a', 'kriti': 'kriti-a'}
# How long after the first naming of a limit the rule begins to hold, and after a restart of a host.
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
_DELAY_S = (0.01, 0.04)
_RUN_S = (0.1, 0.6)
_REPORT_S = (0.05, 0.2)


def allowed_in_window(limit):
    return 1.5 * limit * WINDOW_S + 5


def end_limit(availability, play):
    availability.note_no_limit(now=play.now)


class LimitedTarget:
    """A target whose limits are ``(from_s, limit)``, with None for the time after its end."""

    def __init__(self, target_id, region, limits):
        self.entry = make_entry(target_id, availability_zone=ZONE_BY_REGION[region])
        self.limits = limits
        # The time of each arrival, and the host if it had been told.
        self.arrivals = []

    def limit_at(self, now):
        return next((limit for at, limit in reversed(self.limits) if at <= now), None)

    def breaches(self):
        """Return the windows with more requests of told hosts than the limits allow."""
        found = []
        for at, limit in self.limits:
            if limit is None:
                continue
            until = min((later for later, _ in self.limits if later > at), default=float('inf'))
            counted = [
                when
                for when, is_told in self.arrivals
                if is_told and at + CONTACT_S <= when < until
            ]
            ends = 0
            for start, when in enumerate(counted):
                ends = max(ends, start)
                while ends < len(counted) and counted[ends] < when + WINDOW_S:
                    ends += 1
                if ends - start > allowed_in_window(limit):
                    found.append((self.entry.target_id, limit, when, ends - start))
        return found

    def count(self, begin, end):
        return sum(begin <= when < end for when, _ in self.arrivals)


class LimitHost:
    def __init__(self, play, name, region):
        self.play = play
        self.name = name
        self.region = region
        self.start(known=play.region_by_host)

    def start(self, *, known):
        """Begin without any state, with these hosts known."""
        self.started_at = self.play.now
        self.told_at = {}
        self.fleet = FleetHosts(own_host=self.name, own_region=self.region)
        self.fleet.replace(known)
        self.limiter = TargetRateLimiter(fleet=self.fleet)
        self.state_by_id = {
            target.entry.target_id: TargetState(entry=target.entry) for target in self.play.targets
        }

    def request(self, target, priority):
        """Send a request to a target if its limit allows; return whether it was sent."""
        state = self.state_by_id[target.entry.target_id]
        now = self.play.now
        if not self.limiter.allows(state, priority=priority, now=now):
            return False
        self.limiter.record_sent(state, now=now)
        self.play.after(self.play.rng.uniform(*_DELAY_S), self._arrive, target, self.started_at)
        return True

    def _arrive(self, target, started_at):
        now = self.play.now
        told_at = self.told_at.get(target.entry.target_id)
        is_excused = now - self.started_at < CONTACT_S and self.started_at > 0
        is_told = told_at is not None and now - told_at >= TOLD_S and not is_excused
        target.arrivals.append((now, is_told))
        self.play.after(self.play.rng.uniform(*_RUN_S), self._answer, target, started_at)

    def _answer(self, target, started_at):
        limit = target.limit_at(self.play.now)
        self.play.after(self.play.rng.uniform(*_DELAY_S), self._hear, target, limit, started_at)

    def _hear(self, target, limit, started_at):
        if started_at != self.started_at:
            return
        target_id = target.entry.target_id
        availability = self.state_by_id[target_id].availability
        known = availability.limit and availability.limit.per_s
        if limit is not None:
            self.told_at.setdefault(target_id, self.play.now)
            availability.note_limit(limit, now=self.play.now)
        elif not availability.note_no_limit(now=self.play.now):
            return
        if known != limit and self.play.reported_by_id.get(target_id) != limit:
            self.play.report(self, target_id, limit)

    def hear_report(self, target_id, limit):
        availability = self.state_by_id[target_id].availability
        if limit is not None:
            availability.note_limit(limit, now=self.play.now, is_reported=True)
        elif not availability.note_no_limit(now=self.play.now):
            self.play.after(MIN_LIMIT_AGE_S, end_limit, availability, self.play)


class LimitPlay:
    """Hosts in three regions; each sends ``per_s`` requests a second to each target of its region.

    Hosts of other regions send a twentieth of that. ``report_loss`` is the fraction of lost reports.
    """

    def __init__(self, rng, *, hosts, targets, per_s, report_loss=0.0):
        self.rng = rng
        self.targets = targets
        self.per_s = per_s
        self.report_loss = report_loss
        self.reported_by_id = {}
        self.now = 0.0
        self._events = []
        self._numbers = itertools.count()
        self.region_by_host = {
            f'h-{number}': REGIONS[number % len(REGIONS)] for number in range(hosts)
        }
        self.hosts = [
            LimitHost(self, name, region) for name, region in self.region_by_host.items()
        ]
        self.refused_by_priority = defaultdict(int)
        self.sent_by_priority = defaultdict(int)

    def after(self, delay_s, action, *arguments):
        heapq.heappush(self._events, (self.now + delay_s, next(self._numbers), action, arguments))

    def report(self, sender, target_id, limit):
        self.reported_by_id[target_id] = limit
        for host in self.hosts:
            if host is not sender and self.rng.random() >= self.report_loss:
                self.after(self.rng.uniform(*_REPORT_S), host.hear_report, target_id, limit)

    def run(self, until_s):
        for host in self.hosts:
            for target in self.targets:
                is_near = target.entry.region == host.region
                rate = self.per_s if is_near else self.per_s / 20
                self._schedule(host, target, rate)
        while self._events and self._events[0][0] < until_s:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _schedule(self, host, target, rate):
        self.after(self.rng.expovariate(rate), self._request, host, target, rate)

    def _request(self, host, target, rate):
        priority = self.rng.choice((0, 2))
        is_sent = host.request(target, priority)
        (self.sent_by_priority if is_sent else self.refused_by_priority)[priority] += 1
        self._schedule(host, target, rate)
