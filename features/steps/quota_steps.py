"""Steps of quotas.feature that play a fleet under virtual time."""

import asyncio

from behave import given, then, when
from quota_play import QuotaPlay, allowed_in_window, make_customers
from virtual_time import run_virtual

from balsamrail.quotas.roles import ROLE_COUNT, coordinators

HOT = 7.5
# Hosts run requests without asking only after that.
WARM_UP_S = 7
HOT_S = 6.5


@given('{hosts:d} hosts that serve {count:d} customers')
def step_hosts(context, hosts, count):
    context.play_fields = {'hosts': hosts, 'customers': make_customers(count=count)}


@given('{hosts:d} hosts that serve {count:d} customers with quotas of 2 requests a second')
def step_small_customers(context, hosts, count):
    customers = make_customers(count=count, rate_per_s=2 / 1.6)
    context.play_fields = {'hosts': hosts, 'customers': customers}


@given('{hosts:d} hosts that serve {count:d} customers without quotas')
def step_no_quotas(context, hosts, count):
    customers = make_customers(count=count, factor=0)
    context.play_fields = {'hosts': hosts, 'customers': customers}


def play(context, script):
    async def run():
        context.play = QuotaPlay(seed=context.seed, **context.play_fields)
        await context.play.start()
        await script(context.play)
        await context.play.stop()

    run_virtual(run())


def coordinating(found, *roles):
    """Return the hosts that coordinate roles, in the order of the roles."""
    by_role = coordinators(list(found.zone_by_host))
    return list(dict.fromkeys(by_role[role] for role in roles or range(ROLE_COUNT)))


def heat(found, *numbers):
    for number in numbers:
        found.rate_by_customer[f'customer-{number}'] *= HOT


def cool(found, *numbers):
    for number in numbers:
        found.rate_by_customer[f'customer-{number}'] /= HOT


def note_use(context, found, number, since):
    """Store the part of its quota that a customer has used since a time."""
    customer = found.customer_by_name[f'customer-{number}']
    quota = customer.rate_per_s * (found.now() - since) + customer.burst
    context.use = found.ran(customer.name, since, found.now()) / quota


@when('the callers send their usual requests for {seconds:d} s')
def step_usual(context, seconds):
    play(context, lambda found: found.run(seconds))


@when('the callers send a third of their quotas for {seconds:d} s')
def step_third(context, seconds):
    async def script(found):
        for name in found.rate_by_customer:
            found.rate_by_customer[name] = found.customer_by_name[name].rate_per_s / 3
        await found.run(seconds)

    play(context, script)


@when('customers 0, 5 and 72 send 7.5 times their usual requests for 6.5 s, one after the other')
def step_hot(context):
    async def script(found):
        context.uses = []
        await found.run(WARM_UP_S)
        for number in (0, 5, 72):
            since = found.now()
            heat(found, number)
            await found.run(HOT_S)
            cool(found, number)
            note_use(context, found, number, since)
            context.uses.append(context.use)
        await found.run(2)

    play(context, script)


@when('customer 0 sends 7.5 times its usual requests for 6.5 s, all in one zone')
def step_hot_zone(context):
    async def script(found):
        await found.run(WARM_UP_S)
        since = found.now()
        for name in found.rate_by_customer:
            found.rate_by_customer[name] = 0
        found.rate_by_customer['customer-0'] = (
            found.customer_by_name['customer-0'].rate_per_s / 1.6
        )
        heat(found, 0)
        found.weight_by_zone = {'a1': 1.0}
        await found.run(HOT_S)
        note_use(context, found, 0, since)

    play(context, script)


@when('customer {number:d} sends 7.5 times its usual requests for 6.5 s, a tenth of them urgent')
def step_urgent(context, number):
    async def script(found):
        found.urgent_share = 0.1
        await found.run(WARM_UP_S)
        for name in found.rate_by_customer:
            if name != f'customer-{number}':
                found.rate_by_customer[name] = 0
        found.offered_by_urgency.clear()
        found.refused_by_urgency.clear()
        since = found.now()
        heat(found, number)
        await found.run(HOT_S)
        note_use(context, found, number, since)
        context.refused_share = {
            is_urgent: found.refused_by_urgency[is_urgent] / count
            for is_urgent, count in found.offered_by_urgency.items()
        }
        print(context.refused_share, dict(found.offered_by_urgency), context.use)

    play(context, script)


@then('at most a tenth of the urgent ones is refused, and more than half of the others')
def step_urgent_served(context):
    assert context.refused_share[True] <= 0.1, context.refused_share
    assert context.refused_share[False] > 0.5, context.refused_share


@when('the callers of one zone, and then all, move to another zone')
def step_move(context):
    async def script(found):
        await found.run(WARM_UP_S)
        found.weight_by_zone |= {'a1': 0, 'b1': 2.0}
        await found.run(4)
        found.weight_by_zone = {'b1': 1.0}
        await found.run(6)

    play(context, script)


@when('a coordinator dies under usual load')
def step_coordinator_dies(context):
    async def script(found):
        await found.run(WARM_UP_S)
        found.kill(coordinating(found)[0])
        await found.run(7)

    play(context, script)


@when('three coordinators die, one after the other, while customer 0 is hot')
def step_coordinators_die(context):
    async def script(found):
        await found.run(WARM_UP_S)
        since = found.now()
        heat(found, 0)
        for host in coordinating(found)[:3]:
            await found.run(1.2)
            found.kill(host)
        await found.run(6)
        note_use(context, found, 0, since)

    play(context, script)


@when('one of three regions is cut off for 12 s while customers 0, 3 and 72 are hot')
def step_cut(context):
    async def script(found):
        await found.run(WARM_UP_S)
        since = found.now()
        found.cut([host for host, zone in found.zone_by_host.items() if zone[0] == 'c'])
        await found.run(2)
        heat(found, 0, 3, 72)
        await found.run(10)
        found.heal()
        await found.run(5)
        note_use(context, found, 0, since)

    play(context, script)


@when('the hosts disagree on who is alive while customers 0 and 5 are hot')
def step_disagree(context):
    async def script(found):
        await found.run(WARM_UP_S)
        heat(found, 0, 5)
        for _ in range(12):
            await found.run(0.7)
            for host in found.zone_by_host:
                unseen = found.random.sample(coordinating(found), 3)
                found.unseen_by_host[host] = set(unseen) - {host}
        await found.run(3)

    play(context, script)


@when('messages are delayed by up to 3 s while customers 0 and 5 are hot and hosts are suspected')
def step_delayed(context):
    async def script(found):
        await found.run(WARM_UP_S)
        heat(found, 0, 5)
        found.network.extra_delay_s = 3
        for number in range(6):
            await found.run(1)
            for host in found.zone_by_host:
                found.unseen_by_host[host] = set(coordinating(found)[number : number + 2]) - {host}
        found.network.extra_delay_s = 0
        await found.run(3)

    play(context, script)


@when('messages are delayed by up to 0.25 s under usual load')
def step_slow(context):
    async def script(found):
        await found.run(WARM_UP_S)
        found.network.extra_delay_s = 0.25
        before = found.network.sent
        await found.run(9)
        context.sent_per_s = (found.network.sent - before) / 9 / len(found.zone_by_host)

    play(context, script)


@when('all coordinators and some hosts freeze for 0.7 s, again and again, while customer 0 is hot')
def step_freeze(context):
    async def script(found):
        await found.run(WARM_UP_S)
        heat(found, 0)
        hosts = sorted({*coordinating(found), 'h5', 'h6', 'h7'})
        for _ in range(6):
            await found.run(0.7)
            found.freeze(*hosts)
            await found.run(0.7)
            found.thaw(*hosts)
        await found.run(2)

    play(context, script)


@when('some coordinators and hosts freeze for 4 s while customers 0 and 72 are hot')
def step_freeze_long(context):
    async def script(found):
        await found.run(WARM_UP_S)
        heat(found, 0, 72)
        await found.run(1)
        hosts = sorted({*coordinating(found, 0, 3, 6, 1), 'h5', 'h6'})
        found.freeze(*hosts)
        await found.run(4)
        found.thaw(*hosts)
        await found.run(6)

    play(context, script)


async def lose_power(found):
    hosts = list(found.zone_by_host)
    found.kill(*hosts)
    await asyncio.sleep(0.3)
    found.restart(*hosts)


@when('all hosts lose power at once under usual load')
def step_power(context):
    async def script(found):
        await found.run(9)
        await lose_power(found)
        await found.run(9)

    play(context, script)


@when('all hosts lose power at once while customer 0 is hot')
def step_power_hot(context):
    async def script(found):
        await found.run(9)
        heat(found, 0)
        await found.run(2)
        await lose_power(found)
        await found.run(5)
        cool(found, 0)
        await found.run(4)

    play(context, script)


@when('12 hosts restart one after the other')
def step_restarts(context):
    async def script(found):
        await found.run(WARM_UP_S)
        for host in list(found.zone_by_host)[:12]:
            found.kill(host)
            await found.run(0.5)
            found.restart(host)
            await found.run(0.3)

    play(context, script)


@when('the quota of hot customer 0 is lowered to 0.4, known to all hosts within 3 s')
def step_lower(context):
    async def script(found):
        await found.run(WARM_UP_S)
        heat(found, 0)
        await found.run(3)
        found.replace_quota('customer-0', factor=0.4, late_s=3)
        await found.run(3)
        context.since = found.now()
        await found.run(12)

    play(context, script)


@when('half of the hosts learn of all quotas 2 s later than the others')
def step_late(context):
    async def script(found):
        found.withhold_quotas(list(found.zone_by_host)[::2], seconds=2)
        await found.run(9)

    play(context, script)


@when('customer 0 sends 7.5 times its usual requests for 6.5 s, and 12 s pass')
def step_hot_and_over(context):
    async def script(found):
        await found.run(WARM_UP_S)
        heat(found, 0)
        await found.run(HOT_S)
        cool(found, 0)
        await found.run(12)
        context.logs = [host.log.getvalue() for host in found.host_by_name.values()]

    play(context, script)


@then('nothing is refused')
def step_nothing_refused(context):
    found = context.play
    assert not found.refused(), {n: len(t) for n, t in found.refused_by_customer.items()}
    assert found.offered() > 1_000, found.offered()


@then('at most 1 in 1000 requests is refused')
def step_few_refused(context):
    found = context.play
    assert found.refused() <= found.offered() / 1000, (found.refused(), found.offered())


@then('none of the other customers is refused')
def step_others(context):
    found = context.play
    others = set(found.rate_by_customer) - {'customer-0'}
    assert not found.refused(others), found.refused(others)


@then('no window has more requests than the quotas allow')
def step_bound(context):
    assert not context.play.breaches(), context.play.breaches()


@then('no window that starts later has more requests than the lower quota allows')
def step_lower_bound(context):
    customer = context.play.customer_by_name['customer-0']
    breaches = context.play.breaches(since=context.since)
    assert not breaches, (breaches, allowed_in_window(customer))


@then('each of them has used 0.85 of its quota in that time')
def step_uses(context):
    assert min(context.uses) >= 0.85, context.uses


@then('it has used {part:g} of its quota in that time')
@then('customer 0 has used {part:g} of its quota in that time')
def step_use(context, part):
    assert context.use >= part, context.use


@then('refused callers are told to return after 0.1 s to 5 s, spread over at least 1 s')
def step_spread(context):
    delays = context.play.retry_after_s
    assert 0.1 <= min(delays) <= max(delays) <= 5, (min(delays), max(delays))
    assert max(delays) - min(delays) >= 1, (min(delays), max(delays))


@then('each host sends at most {count:d} messages a second')
def step_few_messages(context, count):
    assert context.sent_per_s <= count, context.sent_per_s


@then('no message has been sent')
def step_no_message(context):
    assert context.play.network.sent == 0, context.play.network.sent
    assert context.play.offered() > 1_000


@then('each host has logged that it limits the customer and that it no longer does')
def step_logged(context):
    for log in context.logs:
        assert log.count('quota_limited') >= 1, log
        assert log.count('quota_limited') == log.count('quota_unlimited') <= 3, log
        assert 'customer=customer-0' in log, log
