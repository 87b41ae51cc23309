"""Figures of target selection and share lending, in virtual time.

Run with ``python -m benchmarks.steering``, which prints one JSON line per figure.
"""

import asyncio
import heapq
import json
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import async_solipsism

from balsamrail.configuration import Target
from balsamrail.errors import NotRunError
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.slot_assignment import assign_slots
from balsamrail.steering.target_picker import TargetPicker
from benchmarks.capacity_steering import tick_us
from benchmarks.figure import Figure
from benchmarks.report import report

# The fleet model is shared with the scenarios.
sys.path.insert(0, str(Path(__file__).resolve().parent.parent / 'features' / 'steps'))

HOSTS = 9
TARGETS = 16
SLOTS = 4
LAG_S = 3.0
REPORT_S = 2.0
WORK_S = 0.1
UTILISATION = 0.75
DURATION_S = 120.0
POOL = 8
PROBES = 3
# Ratio of a tick at 920 hosts to one at 115; a tick should not depend on the number of hosts.
TICK_BOUND = 2


class TargetChoiceSimulation:
    """Discrete-event simulation of hosts that send to targets with a queue."""

    def __init__(self, choice: str) -> None:
        self.choice = choice
        self.random = Random(7)
        self.targets = [
            Target(address=f'10.0.0.{number + 1}:80', availability_zone='a', slots=SLOTS)
            for number in range(TARGETS)
        ]
        self.addresses = [target.address for target in self.targets]
        self.load = dict.fromkeys(self.addresses, 0)
        self.waiting: dict[str, list[tuple[float, int]]] = {name: [] for name in self.addresses}
        self.waits: list[float] = []
        self.highest = 0
        self.pools: list[list[tuple[int, float, str]]] = [[] for _ in range(HOSTS)]
        self.pickers = [TargetPicker(random=self.random, slow_start_s=0) for _ in range(HOSTS)]
        # Per-host limits are disabled, so that only the selection is compared.
        free = [Target(address=name, availability_zone='a', slots=1000) for name in self.addresses]
        for picker in self.pickers:
            picker.update(free, now=0, slow_start_s=0)
        share = {f'h{host}': TARGETS * SLOTS * 900 // HOSTS for host in range(HOSTS)}
        self.assigned = [
            assign_slots(self.targets, share_by_holder=share, holder=f'h{host}')
            for host in range(HOSTS)
        ]

    def pick(self, host: int, now: float) -> str:
        picker = self.pickers[host]
        own = picker.state_by_address
        match self.choice:
            case 'random':
                return self.random.choice(self.addresses)
            case 'least_own':
                least = min(own[name].in_flight for name in self.addresses)
                return self.random.choice(
                    [name for name in self.addresses if own[name].in_flight == least]
                )
            case 'pooled_probes':
                return self.pick_pooled(host, now)
            case 'dealt_then_two_choices_aged':
                free = [name for name, n in self.assigned[host].items() if own[name].in_flight < n]
                target = picker.pick(free, now=now) or picker.pick(self.addresses, now=now)
            case _:
                target = picker.pick(self.addresses, now=now)
        assert target is not None
        return target.address

    def pick_pooled(self, host: int, now: float) -> str:
        pool = [entry for entry in self.pools[host] if entry[1] > now - 1]
        chosen = min(pool)[2] if pool else self.random.choice(self.addresses)
        rest = [entry for entry in pool if entry[2] != chosen]
        probed = self.random.sample(self.addresses, PROBES)
        self.pools[host] = [*rest, *((self.load[name], now, name) for name in probed)][-POOL:]
        return chosen

    def run(self) -> None:
        rate = TARGETS * SLOTS * UTILISATION / WORK_S
        events: list[tuple[float, int, str, int, str]] = [(0.0, 0, 'arrive', 0, '')]
        if self.choice in {'two_choices_aged', 'dealt_then_two_choices_aged'}:
            events.append((0.0, 1, 'report', 0, ''))
        count = 2
        while events:
            now, _, kind, host, address = heapq.heappop(events)
            count += 1
            if kind == 'arrive' and now < DURATION_S:
                heapq.heappush(
                    events, (now + self.random.expovariate(rate), count, 'arrive', 0, '')
                )
                host = self.random.randrange(HOSTS)
                address = self.pick(host, now)
                self.pickers[host].start(address)
                self.load[address] += 1
                self.highest = max(self.highest, self.load[address] - SLOTS)
                if self.load[address] > SLOTS:
                    self.waiting[address].append((now, host))
                    continue
                self.waits.append(0)
                self.serve(events, now, count, host, address)
            elif kind == 'finish':
                picker = self.pickers[host]
                picker.finish(picker.state_by_address[address], AttemptResult.ok, now=now)
                self.load[address] -= 1
                if self.waiting[address]:
                    since, waiter = self.waiting[address].pop(0)
                    self.waits.append(now - since)
                    self.serve(events, now, count, waiter, address)
            elif kind == 'report' and now < DURATION_S:
                heapq.heappush(events, (now + REPORT_S, count, 'report', 0, ''))
                heapq.heappush(
                    events, (now + LAG_S, count + 1, 'lagged', 0, json.dumps(self.load))
                )
                count += 1
            elif kind == 'lagged':
                for picker in self.pickers:
                    for name, load in json.loads(address).items():
                        picker.state_by_address[name].report(in_flight=load, now=now)

    def serve(self, events: list, now: float, count: int, host: int, address: str) -> None:
        end = now + self.random.expovariate(1 / WORK_S)
        heapq.heappush(events, (end, count, 'finish', host, address))


def compare_choices() -> Iterator[Figure]:
    """Yield the wait times of each selection strategy; only the one in use has a bound."""
    choices = ('random', 'least_own', 'two_choices_own', 'two_choices_aged', 'pooled_probes')
    for choice in (*choices, 'dealt_then_two_choices_aged'):
        simulation = TargetChoiceSimulation(choice)
        simulation.run()
        waits = sorted(simulation.waits)
        is_used = choice.startswith('dealt')
        p99 = waits[int(len(waits) * 0.99)]
        name = f'steering.choice_{choice}'
        median = waits[len(waits) // 2]
        yield Figure(name=f'{name}_wait_p50', value=median * 1_000, unit='ms')
        yield Figure(
            name=f'{name}_wait_p99', value=p99 * 1_000, unit='ms', bound=150 if is_used else None
        )
        yield Figure(name=f'{name}_above_slots', value=simulation.highest, unit='requests')


async def usable_fraction(
    *, mode: str, chosen: Callable[[str], bool]
) -> tuple[float, float, float]:
    """Return the used fraction before the first shed request and at the end, and the longest wait.

    :param mode: ``waiting`` for requests that borrow, ``lending`` or ``no_lending``.
    """
    from fleet_model import FleetModel
    from steering_fakes import make_declaration

    declaration = make_declaration(weights={'attiki': 1})
    model = FleetModel(declaration, lending=mode != 'no_lending')
    await model.start()
    hosts = [host for host in model.routers if chosen(host)]
    before_shed = running = shed = turn = 0
    longest_s = 0.0
    loop = asyncio.get_running_loop()
    # A shed caller retries after 1 s; the load ends after five shed requests per host.
    while shed < 5 * len(hosts):
        router = model.routers[hosts[turn % len(hosts)]]
        turn += 1
        started = loop.time()
        try:
            if mode == 'waiting':
                await router.admit_with_borrowing(
                    service='diary', declaration=declaration, route=None
                )
            else:
                router.admit(service='diary', declaration=declaration, route=None)
        except NotRunError:
            shed += 1
            await asyncio.sleep(1)
        else:
            running += 1
            before_shed += shed == 0
            longest_s = max(longest_s, loop.time() - started)
            await asyncio.sleep(0.5)
    await model.stop()
    return before_shed / (TARGETS * 0.9), running / (TARGETS * 0.9), longest_s


def measure_lending() -> Iterator[Figure]:
    """Yield the fraction of the capacity that requests at some of the hosts can use."""
    demand: dict[str, Callable[[str], bool]] = {
        'all_hosts': lambda host: True,
        'region_hosts': lambda host: host.startswith('attiki'),
        'one_host': lambda host: host == 'attiki-0',
    }
    for name, chosen in demand.items():
        for mode in ('waiting', 'lending', 'no_lending'):
            loop = async_solipsism.EventLoop()
            first, used, longest_s = loop.run_until_complete(
                usable_fraction(mode=mode, chosen=chosen)
            )
            loop.close()
            yield Figure(
                name=f'steering.before_any_shed_{name}_{mode}',
                value=first,
                unit='fraction',
                bound=0.9 if mode == 'waiting' else None,
                at_least=True,
            )
            yield Figure(
                name=f'steering.with_retries_{name}_{mode}',
                value=used,
                unit='fraction',
                bound=None if mode == 'no_lending' else 0.9,
                at_least=True,
            )
            yield Figure(
                name=f'steering.longest_wait_{name}_{mode}', value=longest_s * 1_000, unit='ms'
            )


def run() -> Iterator[Figure]:
    """Yield all steering figures."""
    yield from compare_choices()
    yield from measure_lending()
    small, large = (asyncio.run(tick_us(hosts=hosts, targets=100)) for hosts in (115, 920))
    yield Figure(
        name='steering.tick_hosts_ratio', value=large / small, unit='times', bound=TICK_BOUND
    )


if __name__ == '__main__':
    sys.exit(report(run()))
