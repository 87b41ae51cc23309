"""Steps of quotas.feature that concern single parts of the quotas, and entry hosts."""

import asyncio
import dataclasses
import itertools
import random

from behave import then, when
from delivery_parts import DeliveryHarness, response_to
from entry_fleet import HOST_NAME
from platform_helpers import make_environment, make_member, run_real
from quota_play import QuotaPlay
from virtual_time import run_virtual

from balsamrail.catalog.customer import Customer
from balsamrail.errors import NoTargetError, QuotaExceededError
from balsamrail.messages import QuotaAsk
from balsamrail.quotas import MemberQuotaFleet
from balsamrail.quotas.binding import Binding
from balsamrail.quotas.delegations import Delegations
from balsamrail.quotas.quota_pool import QuotaPool
from balsamrail.quotas.quota_terms import QuotaTerms
from balsamrail.settings.bounds import Bounds
from balsamrail.store import ListedHost

_MS = 1_000
_KEY = 'k-one-5b0e'
ONE = Customer(name='one', api_keys=frozenset(), rate_per_s=100, burst=100)


class _ShareTest:
    """A host that delegates its share to two coordinators whose clocks differ."""

    def __init__(self, rng):
        self.rng = rng
        self.offsets = {'x': rng.uniform(0, 100), 'y': rng.uniform(200, 300)}
        self.shares = {name: Delegations(now=off) for name, off in self.offsets.items()}
        self.binding = Binding(deposit_interval_s=10)
        self.wanted = 'x'
        # Messages in transit: when they arrive, and what then happens.
        self.in_transit = []
        self.deposited_at = []

    def post(self, now, arrive):
        self.in_transit.append((now + self.rng.choice((0.01, 0.1, 3)) * self.rng.random(), arrive))

    def step(self, now):
        for message in [found for found in self.in_transit if found[0] <= now]:
            self.in_transit.remove(message)
            message[1](now)
        if self.rng.random() < 0.02:
            self.wanted = 'y' if self.wanted == 'x' else 'x'
        if self.rng.random() < 0.2:
            coordinator = self.wanted
            delegation = self.binding.delegate(coordinator, now=now, fleet_size=61)
            if delegation.is_deposit:
                self.deposited_at.append(now)
            self.post(now, lambda at: self.receive(coordinator, delegation, at))

    def receive(self, name, delegation, now):
        shares, there = self.shares[name], now + self.offsets[name]
        shares.advance(now=there, fleet_size=1)
        if delegation.valid_ms and delegation.epoch == shares.epoch:
            shares.delegate(
                'host',
                stamp_ms=delegation.stamp_ms,
                valid_ms=delegation.valid_ms,
                has_deposit=False,
                now=there,
            )
        stamp_ms, epoch = int(there * _MS), shares.epoch
        self.post(
            now, lambda at: self.binding.note_stamp(name, epoch=epoch, stamp_ms=stamp_ms, now=at)
        )

    def total(self, now):
        for name, shares in self.shares.items():
            shares.advance(now=now + self.offsets[name], fleet_size=1)
        return sum(shares.fraction() for shares in self.shares.values())


@when('a host changes its coordinator at any moment, and messages take any time up to 3 s')
def step_share(context):
    context.totals = []
    context.deposit_pauses_s = []
    for number in range(40):
        test = _ShareTest(random.Random(context.seed * 1_000 + number))
        for tick in range(4_000):
            test.step(tick * 0.01)
            context.totals.append(test.total(tick * 0.01))
        context.deposit_pauses_s += [b - a for a, b in itertools.pairwise(test.deposited_at)]


@then('its share never counts at two coordinators')
def step_share_once(context):
    assert max(context.totals) <= 1, max(context.totals)
    # The share is delegated for most of the time, so that the check is not empty.
    assert sum(context.totals) / len(context.totals) > 0.3


@then('it comes with initial tokens at most once in 10 s')
def step_deposits(context):
    assert context.deposit_pauses_s and min(context.deposit_pauses_s) >= 10


@when('two coordinators have a third and two thirds of the shares after one had them all')
def step_divided(context):
    terms = QuotaTerms(local_limit=0, rate_per_s=30, stock=18, deposit=0, token_lifetime_s=1)
    hosts = [f'h{number}' for number in range(9)]

    def advance(delegations, names, *, tenth):
        delegations.advance(now=tenth / 10, fleet_size=9)
        for name in names:
            fields = {'valid_ms': 500, 'has_deposit': False, 'now': tenth / 10}
            delegations.delegate(name, stamp_ms=tenth * 100, **fields)

    context.given = []
    context.kept = []
    for names in (hosts[:3], hosts[3:]):
        delegations, pool = Delegations(now=0), QuotaPool(now=0)
        for tenth in range(60):
            before = hosts if len(names) == 3 else ()
            advance(delegations, before if tenth < 40 else names, tenth=tenth)
        pool.give(0, urgent=0, terms=terms, delegations=delegations)
        context.kept.append(pool.stock)
        given = 0
        for tenth in range(60, 160):
            advance(delegations, names, tenth=tenth)
            given += pool.give(100, urgent=0, terms=terms, delegations=delegations)
        context.given.append(given)


@then('each gives its part of the rate, and keeps its part of the stock')
def step_parts(context):
    # A coordinator with all shares gives a third of the rate, as there are three.
    small, large = context.given
    # Besides, each gives what it kept at the beginning.
    assert 33 <= small <= 36, context.given
    assert 66 <= large <= 71, context.given
    assert context.kept == [2, 4], context.kept


class _FakeMembers:
    """Hosts by their states; ``stopped`` have said so themselves, and one more is only listed."""

    def __init__(self, state_by_host, *, stopped, listed):
        self.states = state_by_host
        self.stopped = stopped
        self.listed = listed
        self.host_list = self
        self.gone_verifier = self

    def known(self):
        return [make_member(host, state=state) for host, state in self.states.items()]

    def hosts(self):
        return [ListedHost(host=host, address='127.0.0.1:1', state='live') for host in self.listed]

    def has_stopped(self, host):
        return host in self.stopped

    def is_proven_gone(self, holder):
        return False


@when('of 6 hosts one stops, one is suspected, one is gone for the others and one is only listed')
def step_which_count(context):
    async def run():
        states = {'a': 'gone', 'b': 'suspect', 'c': 'gone', 'd': 'alive'}
        members = _FakeMembers(states, stopped={'a'}, listed=['a', 'c', 'd', 'e'])
        fleet = MemberQuotaFleet(environment=make_environment(host='own'), members=members)
        context.sizes = [fleet.size()]
        await asyncio.sleep(6)
        context.sizes.append(fleet.size())

    run_virtual(run())


@then('all count at first, and 6 s later all but the one that stopped')
def step_counted(context):
    assert context.sizes == [6, 5], context.sizes


@when('quotas and windows of any size are divided among fleets of any size')
def step_divide(context):
    rng = random.Random(context.seed)
    context.excess = []
    for _ in range(5_000):
        rate = 10 ** rng.uniform(-1, 4)
        bounds = Bounds(
            quota_window_s=rng.choice((1, 5, 10)),
            quota_overage=rng.choice((0, 0.1, 0.5)),
            quota_slack=rng.choice((0, 20, 100)),
        )
        customer = dataclasses.replace(ONE, rate_per_s=rate, burst=rate * rng.uniform(0, 3))
        fleet_size = rng.choice((1, 3, 9, 61, 300, 920))
        terms = QuotaTerms.of(customer, bounds=bounds, fleet_size=fleet_size)
        quota = rate * bounds.quota_window_s + customer.burst
        limit = quota * (1 + bounds.quota_overage) + bounds.quota_slack
        local = terms.local_limit * fleet_size
        shared_s = bounds.quota_window_s + terms.token_lifetime_s
        most = local + terms.stock + terms.deposit + terms.rate_per_s * shared_s
        context.excess.append(most / limit)


@then('what can run in a window in the worst case is within the bound')
def step_within(context):
    assert max(context.excess) <= 1, max(context.excess)
    # Most of the bound is used.
    assert min(context.excess) >= 0.5, min(context.excess)


@when('a coordinator gets a withdrawal before the message that was sent ahead of it')
def step_withdrawal(context):
    context.shares = Delegations(now=5)
    context.shares.advance(now=6, fleet_size=1)
    context.shares.withdraw('host', now=6)
    context.shares.delegate('host', stamp_ms=5_500, valid_ms=2_500, has_deposit=False, now=6.1)


@then('the share does not count')
def step_withdrawn(context):
    assert context.shares.fraction() == 0


class _LocalPlay:
    """One limiter with a network that a scenario answers."""

    def __init__(self):
        self.play = QuotaPlay(hosts=9, customers={'one': (ONE, 0)})

    async def start(self):
        await self.play.start()
        self.host = self.play.host_by_name['h0']

    async def acquire(self):
        customer = self.play.customer_by_name['one']
        return await self.host.limiter.acquire(customer, is_urgent=False)


def _ask(**fields):
    return QuotaAsk(
        **{
            'role': 0,
            'number': 1,
            'epoch': 0,
            'stamp_ms': 0,
            'valid_ms': 0,
            'is_deposit': False,
            'is_leaving': False,
            'fleet_size': 1,
            'wanted_by_customer': {},
            'urgent_by_customer': {},
            'offered_by_customer': {},
            **fields,
        }
    )


@when('a coordinator with all shares is suspended for 10 s')
def step_suspended_coordinator(context):
    async def run():
        local = _LocalPlay()
        await local.start()
        for host in local.play.host_by_name.values():
            host.gate.open.clear()
        coordinator = local.host.limiter._messenger._coordinator(0)
        for number in range(9):
            reply = coordinator.answer(f'h{number}', _ask())
            fields = {'epoch': reply.epoch, 'stamp_ms': reply.stamp_ms, 'valid_ms': 2_500}
            coordinator.answer(f'h{number}', _ask(**fields))
        await asyncio.sleep(1)
        wanted = {'wanted_by_customer': {'one': 5}}
        context.before = coordinator.answer('h1', _ask(**wanted)).given_by_customer
        await asyncio.sleep(10)
        context.after = coordinator.answer('h1', _ask(**wanted)).given_by_customer
        await local.play.stop()

    run_virtual(run())


@then('it gives no tokens')
def step_no_tokens(context):
    assert context.before == {'one': 5}, context.before
    assert context.after == {'one': 0}, context.after


@when('a token arrives for a request whose host is suspended for 10 s')
def step_suspended_request(context):
    async def run():
        local = _LocalPlay()
        await local.start()
        context.refused = []

        async def request():
            try:
                await local.acquire()
            except QuotaExceededError:
                context.refused.append(local.play.now())

        # The others answer, and the reply is there when the host wakes.
        await asyncio.sleep(2)
        local.host.spawn(request())
        await asyncio.sleep(0.001)
        local.host.gate.open.clear()
        await asyncio.sleep(10)
        local.host.gate.open.set()
        await asyncio.sleep(0.01)
        await local.play.stop()

    run_virtual(run())


@when('the machine of a host that holds tokens is suspended for 10 s')
def step_suspended_machine(context):
    async def run():
        local = _LocalPlay()
        await local.start()

        def held():
            return local.host.limiter.dump()['customers']['one']['tokens']

        await asyncio.sleep(6)
        await asyncio.gather(*(local.acquire() for _ in range(60)))
        context.held = [held()]
        local.host.suspended_s = 10
        context.held.append(held())
        await local.play.stop()

    run_virtual(run())


@then('the host no longer holds them')
def step_dropped(context):
    before, after = context.held
    assert before > 0, context.held
    assert after == 0, context.held


@then('the request is refused')
def step_refused(context):
    assert len(context.refused) == 1, context.refused


@when('a host runs what it may without asking, and starts again')
def step_start_again(context):
    async def run():
        local = _LocalPlay()
        await local.start()
        context.immediate = []
        await asyncio.sleep(6)
        # No host gives it tokens.
        local.play.cut(['h0'])
        local.play.see_only('h0', 'another')
        await asyncio.sleep(1)
        context.immediate.append(await count_immediate(local))
        local.play.kill('h0')
        local.play.restart('h0')
        local.play.see_only('h0', 'another')
        for pause_s in (0.1, 5.5, 0.3):
            await asyncio.sleep(pause_s)
            context.immediate.append(await count_immediate(local))
        await local.play.stop()

    run_virtual(run())


async def count_immediate(local):
    """Return how many of 40 requests run at once, without any reply."""
    count = 0
    for _ in range(40):
        try:
            async with asyncio.timeout(0.0001):
                await local.acquire()
        except (TimeoutError, QuotaExceededError):
            continue
        count += 1
    return count


@then('it runs nothing without asking for 5.75 s')
def step_nothing_local(context):
    before, soon, later, after = context.immediate
    assert before > 0, context.immediate
    assert (soon, later) == (0, 0), context.immediate
    assert after == before, context.immediate


class _RecordedLimits:
    def __init__(self):
        self.released = 0
        self.acquired = []

    async def acquire(self, customer, *, is_urgent):
        self.acquired.append(customer)
        return self

    def release_unused(self):
        self.released += 1


def _dispatch(context, behaviours):
    async def run():
        context.limits = _RecordedLimits()
        delivery = DeliveryHarness(behaviours)
        delivery.customer_limits = context.limits
        await delivery.start()
        name_customer(delivery.dispatcher, ONE)
        try:
            context.response = await delivery.send('r-1')
        except NoTargetError:
            context.response = None
        delivery.stop()

    run_real(run(), limit_s=10)


def name_customer(dispatcher, customer):
    """Let all requests of a dispatcher belong to one customer."""
    planner = dispatcher._planner
    plan_of = type(planner).plan

    class Planner(type(planner)):
        __slots__ = ()

        def plan(self, request):
            return dataclasses.replace(plan_of(self, request), customer=customer)

    planner.__class__ = Planner


@when('a dispatcher handles a request with a quota that no target accepts')
def step_not_run(context):
    _dispatch(context, [])


@then('the permission is returned')
def step_returned(context):
    assert context.response is None
    assert context.limits.acquired == [ONE]
    assert context.limits.released == 1


@when('a dispatcher handles a request with a quota that a target runs')
def step_run(context):
    async def answer(number, headers, writer):
        writer.write(response_to(headers))

    _dispatch(context, [answer])


@then('the permission is not returned')
def step_kept(context):
    assert context.response.status == 200
    assert context.limits.acquired == [ONE]
    assert context.limits.released == 0


@when('a customer with a quota of 8 a second sends 40 a second to all hosts for 6 s')
def step_entry(context):
    customer = Customer(name='one', api_keys=frozenset((_KEY,)), rate_per_s=8, burst=8)

    async def run():
        fleet = context.fleet
        fleet.settings['bounds'] = Bounds(retry_slack=100, quota_overage=0.1, quota_slack=20)
        await fleet.start()
        try:
            for host in fleet.hosts.values():
                host.catalog.manifest = dataclasses.replace(
                    host.catalog.manifest, customers=(customer,)
                )
            await asyncio.sleep(1)
            context.codes = await send_steadily(fleet, per_s=40, seconds=6)
        finally:
            await fleet.stop()

    run_real(run(), limit_s=40)


async def send_steadily(fleet, *, per_s, seconds):
    loop = asyncio.get_running_loop()
    codes, pending = [], []
    addresses = [addresses[0] for addresses in fleet.addresses.values()]

    async def send(number):
        headers = {
            'Host': HOST_NAME,
            'X-Request-Id': f'r-{number}',
            'X-Timeout-Ms': '2000',
            'Authorization': f'Bearer {_KEY}',
        }
        address = addresses[number % len(addresses)]
        response = await fleet.get(address, f'/read/{number}', headers=headers)
        codes.append((loop.time(), response.code, response.headers.get('Retry-After')))

    began = loop.time()
    for number in range(per_s * seconds):
        pending.append(asyncio.create_task(send(number)))
        await asyncio.sleep(max(0, began + (number + 1) / per_s - loop.time()))
    await asyncio.gather(*pending)
    return codes


@then('between 40 and 72 of its requests run in any 5 s, and the others are answered 429')
def step_entry_bound(context):
    assert {code for _, code, _ in context.codes} == {200, 429}, context.codes[:5]
    assert all(0.1 <= float(after) <= 5 for _, code, after in context.codes if code == 429)
    times = sorted(at for at, code, _ in context.codes if code == 200)
    most = max(sum(at <= other < at + 5 for other in times) for at in times)
    # The bound is (8 x 5 + 8) x 1.1 + 20 = 72.8.
    assert 40 <= most <= 72, most
