"""Steps for membership.feature on individual member tables."""

import asyncio
from types import SimpleNamespace

from behave import given, then
from hypothesis import given as for_all
from hypothesis import strategies

from balsamrail.membership import Members
from balsamrail.membership.flood_filter import FloodFilter
from balsamrail.membership.member_gossip import MemberGossip
from balsamrail.membership.updates import make_hello, make_update, update_order
from balsamrail.messages import MemberDigest, encode_message
from balsamrail.store import ListedHost
from features.steps.platform_helpers import make_environment, make_member
from features.steps.virtual_time import run_virtual


def make_table(host='own'):
    return Members(environment=make_environment(host=host))


def draw_update(host, incarnation, refutation, state):
    member = make_member(host, incarnation=incarnation * 20, refutation=refutation, state=state)
    return make_update(member, observer='x')


def draw_updates(hosts, max_size):
    update = strategies.builds(
        draw_update,
        strategies.sampled_from(hosts),
        strategies.sampled_from(['1', '2']),
        strategies.integers(0, 2),
        strategies.sampled_from(['alive', 'suspect', 'leaving', 'gone']),
    )
    return strategies.lists(update, max_size=max_size)


@then('any order of any updates, some duplicated, results in the same table')
def step_merge(context):
    async def merged(updates):
        table = make_table()
        for update in updates:
            table.apply(update)
        return sorted(table.known(), key=lambda member: member.host)

    @for_all(draw_updates(['a', 'b'], 12), strategies.data())
    def check(updates, data):
        shuffled = data.draw(strategies.permutations(updates + updates[:3]))
        assert run_virtual(merged(updates)) == run_virtual(merged(shuffled))

    check()


@then('a flood filter accepts each version once and retains a bounded number of topics')
def step_filter(context):
    flood_filter = FloodFilter(max_topics=100)
    passed = [flood_filter.admit('member/a/', (version,)) for version in (1, 1, 2, 1, 2, 3)]
    assert passed == [True, False, True, False, False, True]
    for number in range(1000):
        flood_filter.admit(f'topic {number}', (1,))
    assert len(flood_filter) == 100


class ExchangeSide:
    """One of two hosts that exchange messages over a stream without delay."""

    def __init__(self, host, peer):
        self.members = make_table(host)
        self.gossip = MemberGossip(members=self.members, streams=self, flood=lambda *_, **__: None)
        self.links = [SimpleNamespace(host=peer, is_outbound=True)]
        self.inbox = []
        self.sent = []

    def write(self, link, message):
        self.sent.append(message)
        self.other.inbox.append(message)

    def handle(self):
        while self.inbox:
            message = self.inbox.pop(0)
            is_digest = isinstance(message, MemberDigest)
            (self.gossip.receive_digest if is_digest else self.gossip.merge)(
                self.links[0], message
            )

    def rows(self):
        known = [self.members.local_member(), *self.members.known()]
        return {row.host: update_order(row) for row in known if row.state != 'gone'}


def make_sides():
    one, other = ExchangeSide('one', 'other'), ExchangeSide('other', 'one')
    one.other, other.other = other, one
    return one, other


def send_hello(side):
    side.gossip.receive_hello(side.links[0], make_hello(side.other.members.local_member()))


def run_exchange(side, begin=lambda side: side.gossip.sync_with_random_peer()):
    """Let one side start an exchange and return the messages that both sent."""
    side.sent.clear()
    side.other.sent.clear()
    begin(side)
    while side.inbox or side.other.inbox:
        side.other.handle()
        side.handle()
    return side.sent + side.other.sent


@then(
    'two tables that missed any updates agree after {offers:d} digests, '
    'and further ones get no response'
)
def step_exchange(context, offers):
    async def check_sides(missed_by_one, missed_by_other):
        one, other = make_sides()
        for side, updates in ((other, missed_by_one), (one, missed_by_other)):
            for update in updates:
                side.members.apply(update)
        for _ in range(offers):
            assert len(run_exchange(one)) < 1_000
        assert one.rows() == other.rows()
        highest = {}
        for update in missed_by_one + missed_by_other:
            highest[update.host] = max(highest.get(update.host, ()), update_order(update))
        kept = {host: order for host, order in highest.items() if order[2] < 3}
        assert kept.items() <= one.rows().items()
        assert len(run_exchange(one)) == len(run_exchange(other)) == 1

    updates = draw_updates([f'host-{number}' for number in range(60)], 60)

    @for_all(updates, updates)
    def check(missed_by_one, missed_by_other):
        run_virtual(check_sides(missed_by_one, missed_by_other))

    check()


@then('a new stream repairs one missing row among {size:d} with at most {limit:d} bytes')
def step_exchange_bytes(context, size, limit):
    async def exchange():
        one, other = make_sides()
        run_exchange(one)
        for number in range(size):
            update = draw_update(f'host-{number}', '1', 0, 'alive')
            one.members.apply(update)
            if number:
                other.members.apply(update)
        for side in (one, other, one):
            sent = sum(len(encode_message(message)) for message in run_exchange(side, send_hello))
            assert one.rows() == other.rows()
            assert sent <= limit, sent

    run_virtual(exchange())


@then('a gone host stays removed on hosts that learned of it 30 minutes apart')
def step_expire(context):
    async def expire():
        one, other = make_sides()
        for side in (one, other):
            side.members.apply(draw_update('x', '1', 0, 'gone'))
            await asyncio.sleep(1_800)
        await asyncio.sleep(100)
        one.members.tick()
        for begin in (send_hello, run_exchange, send_hello):
            begin(other)
            run_exchange(one)
        assert one.members.get('x') is None
        assert other.members.get('x').state == 'gone'

    run_virtual(expire())


@given('a host that never met host x, with these events: {events}')
def step_events(context, events):
    async def apply_events():
        members = make_table()
        entry = ListedHost(host='x', address='10.0.0.2:1', state='live')
        for event in events.split(', '):
            second, what = event.split()
            await asyncio.sleep(int(second) - asyncio.get_running_loop().time())
            match what:
                case 'misses' | 'holds':
                    members.host_list.update([entry] if what == 'holds' else [])
                case 'agrees':
                    members.gone_verifier.record_agreement()
                case 'updates':
                    members.apply(draw_update('x', '1', 0, 'alive'))
        await asyncio.sleep(200 - asyncio.get_running_loop().time())
        return members.is_proven_gone('x@' + '1' * 20)

    context.proved = run_virtual(apply_events())


@then('after 200 s host x is {verdict} gone')
def step_verdict(context, verdict):
    assert context.proved == (verdict == 'proved')
