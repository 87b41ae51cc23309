"""A play of hosts that limit customers together, under virtual time."""

import asyncio
import contextvars
import io
import math
import random
from collections import Counter, defaultdict
from dataclasses import replace

from memory_network import CURRENT_GATE, Gate, make_task
from platform_helpers import make_settings
from quota_network import QuotaNetwork

from balsamrail.catalog.customer import Customer
from balsamrail.clock import Clock
from balsamrail.environment import Environment
from balsamrail.errors import QuotaExceededError
from balsamrail.logs import Log
from balsamrail.quotas import QuotaLimiter
from balsamrail.settings import Bounds

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
CUSTOMERS = 73
_TOTAL_PER_S = 1000
QUOTA_FACTOR = 1.6
# After this time a host that does not answer is suspected, in the view of the others.
DETECTION_S = 1.5
_BOUNDS = Bounds(
    config_apply_s=3, quota_window_s=WINDOW_S, quota_overage=OVERAGE, quota_slack=SLACK
)
_ZONES = ('a1', 'a2', 'b1', 'b2', 'c1', 'c2')


def allowed_in_window(customer):
    return (customer.rate_per_s * WINDOW_S + customer.burst) * (1 + OVERAGE) + SLACK


def make_customers(count=CUSTOMERS, *, factor=QUOTA_FACTOR, rate_per_s=None):
    """Return customers and their usual rates, which fall off, or are all ``rate_per_s``."""
    weights = [(rank + 1) ** -1.2 for rank in range(count)]
    rates = [rate_per_s or _TOTAL_PER_S * weight / sum(weights) for weight in weights]
    return {
        f'customer-{rank}': (
            Customer(
                name=f'customer-{rank}',
                api_keys=frozenset(),
                rate_per_s=factor * rate,
                burst=factor * rate,
            ),
            rate,
        )
        for rank, rate in enumerate(rates)
    }


class PlayHost:
    """One host; it is started again as a new process."""

    def __init__(self, play, name, zone):
        self.play = play
        self.name = name
        self.zone = zone
        self.gate = Gate()
        self.tasks = set()
        # How long the machine has been suspended, which the event loop's clock does not count.
        self.suspended_s = 0
        self.start()

    def start(self):
        loop = asyncio.get_running_loop()
        self.log = io.StringIO()
        self.environment = Environment(
            settings=make_settings(host=self.name, bounds=_BOUNDS),
            clock=Clock(wall=1_800_000_000, boottime=lambda: loop.time() + self.suspended_s),
            log=Log(host=self.name, output=self.log),
            incarnation=f'{1_800_000_000_000:012x}{0:08x}',
        )
        self.limiter = QuotaLimiter(
            environment=self.environment,
            network=self.play.network.end(self.name, self.zone),
            fleet=PlayFleet(self.play, self.name),
            customers=lambda: self.play.customers_of(self.name),
        )
        self.spawn(self.limiter.run())

    def spawn(self, coroutine):
        context = contextvars.copy_context()
        context.run(CURRENT_GATE.set, self.gate)
        task = context.run(asyncio.get_running_loop().create_task, coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def stop(self):
        for task in list(self.tasks):
            task.cancel()
        self.play.network.remove(self.name)


class PlayFleet:
    def __init__(self, play, name):
        self.play = play
        self.name = name

    def serving(self):
        return self.play.seen_by(self.name)

    def is_running(self, host):
        return host in self.play.seen_by(self.name)

    def size(self):
        return len(self.play.zone_by_host)


class QuotaPlay:
    """Callers of all customers send to all hosts.

    ``rate_by_customer`` are the present rates, ``weight_by_zone`` the parts of the zones in them.
    """

    def __init__(self, *, hosts, customers=None, seed=1, fails=0.03):
        self.random = random.Random(seed)
        random.seed(seed)
        self.fails = fails
        self.network = QuotaNetwork(seed=seed)
        self.rate_by_customer = {}
        self.customer_by_name = {}
        for name, (customer, rate) in (customers or make_customers()).items():
            self.customer_by_name[name] = customer
            self.rate_by_customer[name] = rate
        self._customers = tuple(self.customer_by_name.values())
        self.late_by_host = {}
        self.zone_by_host = {f'h{n}': _ZONES[n % len(_ZONES)] for n in range(hosts)}
        self.weight_by_zone = dict.fromkeys(sorted(set(self.zone_by_host.values())), 1.0)
        self.unseen_by_host = defaultdict(set)
        self.runs_by_customer = defaultdict(list)
        self.offered_by_customer = defaultdict(list)
        self.refused_by_customer = defaultdict(list)
        self.dead = set()
        self.is_over = False
        self.counts = Counter()
        self.urgent_share = 0
        # The numbers of requests and of refusals, by whether the request is urgent.
        self.offered_by_urgency = Counter()
        self.refused_by_urgency = Counter()
        self.waits = []
        self.retry_after_s = []

    async def start(self):
        self.loop = asyncio.get_running_loop()
        self.loop.set_task_factory(make_task)
        self.began = self.loop.time()
        self.host_by_name = {
            name: PlayHost(self, name, zone) for name, zone in self.zone_by_host.items()
        }
        self._seen = {name: list(self.zone_by_host) for name in self.zone_by_host}

    async def stop(self):
        """End all tasks, those of suspended hosts as well."""
        self.is_over = True
        for host in self.host_by_name.values():
            host.gate.open.set()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def now(self):
        return self.loop.time() - self.began

    def customers_of(self, host):
        return self.late_by_host.get(host, self._customers)

    def replace_quota(self, name, *, factor, late_s=0):
        """Change a quota, which each host learns within ``late_s``."""
        earlier = self._customers
        old = self.customer_by_name[name]
        new = replace(old, rate_per_s=old.rate_per_s * factor, burst=old.burst * factor)
        self.customer_by_name[name] = new
        self._customers = tuple(self.customer_by_name.values())
        for host in self.zone_by_host:
            self.late_by_host[host] = earlier
            self.loop.call_later(self.random.uniform(0, late_s), self._learn, host)

    def withhold_quotas(self, hosts, *, seconds):
        """Let some hosts learn of all customers' quotas only later."""
        unlimited = tuple(replace(customer, rate_per_s=0) for customer in self._customers)
        for host in hosts:
            self.late_by_host[host] = unlimited
            self.loop.call_later(seconds, self._learn, host)

    def _learn(self, host):
        self.late_by_host.pop(host, None)

    def seen_by(self, host):
        unseen = self.unseen_by_host[host]
        return [name for name in self._seen[host] if name not in unseen]

    def see_only(self, host, *names):
        """Let a host know only these hosts as live."""
        self._seen[host] = list(names)

    def _suspect(self, hosts, by):
        for observer in by:
            self.unseen_by_host[observer] |= set(hosts) - {observer}

    def _trust(self, hosts, by):
        for observer in by:
            self.unseen_by_host[observer] -= set(hosts)

    def kill(self, *names):
        for name in names:
            self.dead.add(name)
            self.host_by_name[name].stop()
        others = [name for name in self.zone_by_host if name not in names]
        self.loop.call_later(DETECTION_S, self._suspect, names, others)

    def restart(self, *names):
        for name in names:
            self.dead.discard(name)
            self.unseen_by_host[name] = set()
            self.host_by_name[name].start()
        self._trust(names, self.zone_by_host)

    def freeze(self, *names):
        for name in names:
            self.host_by_name[name].gate.open.clear()
            self.network.suspended[name] = []
        others = [name for name in self.zone_by_host if name not in names]
        self.loop.call_later(DETECTION_S, self._suspect, names, others)

    def thaw(self, *names):
        for name in names:
            self.host_by_name[name].gate.open.set()
            self.network.resume(name)
        self.loop.call_later(0.5, self._trust, names, self.zone_by_host)

    def cut(self, names):
        others = [name for name in self.zone_by_host if name not in names]
        self.network.side_by_host = dict.fromkeys(names, 'cut off')
        self.loop.call_later(DETECTION_S, self._suspect, names, others)
        self.loop.call_later(DETECTION_S, self._suspect, others, names)

    def heal(self):
        names = list(self.network.side_by_host)
        self.network.side_by_host = {}
        self.loop.call_later(0.5, self._trust, names, self.zone_by_host)
        self.loop.call_later(0.5, self._trust, list(self.zone_by_host), names)

    async def run(self, seconds):
        """Let the callers send for some seconds."""
        await self.run_until(self.now() + seconds)

    async def run_until(self, end):
        step_s = 0.01
        while self.now() < end:
            for name, rate in self.rate_by_customer.items():
                for _ in range(self._poisson(rate * step_s)):
                    self._send(name, may_retry=True)
            await asyncio.sleep(step_s)

    def _poisson(self, mean):
        limit, count, product = math.exp(-mean), 0, self.random.random()
        while product > limit:
            count += 1
            product *= self.random.random()
        return count

    def _send(self, customer, *, may_retry):
        zones = list(self.weight_by_zone)
        weights = [self.weight_by_zone[zone] for zone in zones]
        zone = self.random.choices(zones, weights)[0]
        names = [n for n, z in self.zone_by_host.items() if z == zone and n not in self.dead]
        if self.is_over or not names:
            return
        host = self.host_by_name[self.random.choice(names)]
        host.spawn(self._request(host, customer, may_retry))

    async def _request(self, host, name, may_retry):
        offered_at = self.now()
        self.offered_by_customer[name].append(offered_at)
        customer = next(c for c in self.customers_of(host.name) if c.name == name)
        is_urgent = bool(self.urgent_share) and self.random.random() < self.urgent_share
        self.offered_by_urgency[is_urgent] += 1
        try:
            grant = await host.limiter.acquire(customer, is_urgent=is_urgent)
        except QuotaExceededError as error:
            self.refused_by_customer[name].append(offered_at)
            self.refused_by_urgency[is_urgent] += 1
            self.retry_after_s.append(error.retry_after_s)
            if may_retry:
                # The caller, which is no part of the host, returns.
                self.loop.call_later(
                    error.retry_after_s, lambda: self._send(name, may_retry=False)
                )
            return
        self.waits.append(self.now() - offered_at)
        if self.random.random() < self.fails:
            grant.release_unused()
            return
        self.loop.call_later(self.random.uniform(0, 0.1), self._note_run, name)

    def _note_run(self, name):
        self.runs_by_customer[name].append(self.now())

    def breaches(self, allowed=None, since=0):
        """Return the windows with more runs than the quotas allow."""
        found = []
        for name, runs in self.runs_by_customer.items():
            limit = allowed or allowed_in_window(self.customer_by_name[name])
            times = sorted(at for at in runs if at >= since)
            first = 0
            for count, at in enumerate(times, start=1):
                while times[first] <= at - WINDOW_S:
                    first += 1
                if count - first > limit:
                    found.append((name, round(at, 2), count - first, round(limit, 1)))
                    break
        return found

    def largest_window(self, name):
        times, first, most = sorted(self.runs_by_customer[name]), 0, 0
        for count, at in enumerate(times, start=1):
            while times[first] <= at - WINDOW_S:
                first += 1
            most = max(most, count - first)
        return most

    def refused(self, names=None, begin=0, end=math.inf):
        return sum(
            begin <= at < end
            for name, times in self.refused_by_customer.items()
            if names is None or name in names
            for at in times
        )

    def offered(self, begin=0, end=math.inf):
        return sum(begin <= at < end for ts in self.offered_by_customer.values() for at in ts)

    def ran(self, name, begin, end):
        return sum(begin <= at < end for at in self.runs_by_customer[name])
