"""Steps of placement.feature."""

import math
import random
from collections import Counter
from fractions import Fraction

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st
from placement_parts import REGION_BY_ZONE, Placement, make_entry, make_route

from balsamrail.catalog.weighted_service import WeightedService
from balsamrail.placement.exchange_sizes import ExchangeSizes
from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.locality_weights import locality_weights
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.rendezvous_hashing import RendezvousRanking
from balsamrail.placement.retry_budgets import RetryBudgets
from balsamrail.placement.target_attempt import AttemptOutcome
from balsamrail.placement.warmup_limiter import WarmupLimiter
from balsamrail.placement.weighted_round_robin import WeightedRoundRobin
from balsamrail.settings.bounds import Bounds

SLOTS_BY_ID = st.dictionaries(
    st.text(min_size=1, max_size=6), st.integers(1, 12), min_size=1, max_size=12
)
SLOTS_BY_REGION = st.dictionaries(
    st.sampled_from(['attiki', 'makedonia', 'kriti', 'ipiros']), st.integers(0, 60), min_size=1
)


@when('hosts that know the same targets in any order rank them for any object')
def step_rank_targets(context):
    pass


@then('all hosts get the same order')
def step_same_order(context):
    @for_all(SLOTS_BY_ID, st.text(max_size=9), st.randoms(use_true_random=False))
    def check(slots_by_id, key, shuffle):
        names = list(slots_by_id)
        first = RendezvousRanking(weight_by_id=slots_by_id).best(key, count=len(names))
        shuffle.shuffle(names)
        second = RendezvousRanking(weight_by_id={name: slots_by_id[name] for name in names})
        second.best(key, count=1)
        assert list(second.best(key, count=len(names))) == list(first)
        assert sorted(first) == sorted(names)

    check()


@when('one of several targets is removed')
def step_target_removed(context):
    pass


@then('only the objects that preferred it get another first target')
def step_only_its_objects(context):
    @for_all(SLOTS_BY_ID, st.data())
    def check(slots_by_id, data):
        gone = data.draw(st.sampled_from(sorted(slots_by_id)))
        before = RendezvousRanking(weight_by_id=slots_by_id)
        rest = {name: slots for name, slots in slots_by_id.items() if name != gone}
        after = RendezvousRanking(weight_by_id=rest)
        for number in range(20):
            first, *others = before.best(f'object {number}', count=2)
            expected = [first] if first != gone else others
            assert list(after.best(f'object {number}', count=1)) == expected

    check()


@when('4,000 objects are ranked over targets of 2, 4 and 6 slots')
def step_rank_objects(context):
    ranking = RendezvousRanking(weight_by_id={'i-1': 2, 'i-2': 4, 'i-3': 6})
    context.first_targets = Counter(ranking.best(f'object {n}', count=1)[0] for n in range(4_000))


@then('the shares of first places are within 3 points of 1/6, 2/6 and 3/6')
def step_shares(context):
    for target_id, share in (('i-1', 1 / 6), ('i-2', 2 / 6), ('i-3', 3 / 6)):
        assert abs(context.first_targets[target_id] / 4_000 - share) < 0.03, context.first_targets


@when('the weights for any regions with any slots are computed')
def step_compute_weights(context):
    pass


@then('the weights of each region add up to one and use only regions with slots')
def step_weights_add_up(context):
    @for_all(SLOTS_BY_REGION)
    def check(slots_by_region):
        for own in slots_by_region:
            weights = locality_weights(slots_by_region, own=own)
            if any(slots_by_region.values()):
                assert math.isclose(sum(weights.values()), 1), weights
            assert all(slots_by_region[region] for region in weights), weights

    check()


@then('no region gives away more than it lacks capacity for')
def step_keeps_capacity(context):
    @for_all(SLOTS_BY_REGION)
    def check(slots_by_region):
        demand = sum(slots_by_region.values()) / len(slots_by_region)
        for own, slots in slots_by_region.items():
            if demand:
                kept = locality_weights(slots_by_region, own=own).get(own, 0)
                assert math.isclose(kept, min(1, slots / demand)), (own, kept)

    check()


@then('no region is utilized above the average')
def step_evenly_utilized(context):
    @for_all(SLOTS_BY_REGION)
    def check(slots_by_region):
        demand = sum(slots_by_region.values()) / len(slots_by_region)
        taken = Counter()
        for own in slots_by_region:
            for region, weight in locality_weights(slots_by_region, own=own).items():
                taken[region] += weight * demand
        for region, slots in slots_by_region.items():
            assert taken[region] <= slots * (1 + 1e-9), (region, taken)

    check()


@when('any targets in any regions and zones are ordered for a confined route')
def step_confined(context):
    pass


@then('every candidate is in an allowed region and in no evacuated zone')
def step_allowed(context):
    zones = st.sampled_from(sorted(REGION_BY_ZONE))

    @for_all(st.lists(zones, max_size=9), st.sets(zones), st.sets(zones, min_size=1))
    def check(target_zones, evacuated, allowed_zones):
        entries = [
            make_entry(f'i-{number}', availability_zone=zone)
            for number, zone in enumerate(target_zones)
        ]
        placement = Placement(*entries)
        placement.catalog.set_evacuated(frozenset(evacuated))
        placement.target_registry.refresh(now=0)
        allowed = frozenset(REGION_BY_ZONE[zone] for zone in allowed_zones)
        order = placement.target_registry.order_of('lepu', allowed_regions=allowed)
        found = set(order.fallbacks('x'))
        expected = {
            entry.target_id
            for entry in entries
            if entry.region in allowed and entry.availability_zone not in evacuated
        }
        assert found == expected, (found, expected)

    check()


@given('300 objects and targets of 6, 3 and 3 slots in the zones of a region')
def step_zones(context):
    context.objects = [f'object {number}' for number in range(300)]
    context.entries = [
        make_entry('a-1', availability_zone='attiki-a', slots=3),
        make_entry('a-2', availability_zone='attiki-a', slots=3),
        make_entry('b-1', availability_zone='attiki-b', slots=3),
        make_entry('c-1', availability_zone='attiki-c', slots=3),
        make_entry('m-1', availability_zone='makedonia-a', slots=6),
    ]


@when('each zone places the objects of a route with large exchanges')
def step_place_near(context):
    context.first_by_zone = {}
    for zone in ('attiki-a', 'attiki-b', 'attiki-c'):
        placement = Placement(*context.entries, availability_zone=zone, region='attiki')
        order = placement.target_registry.order_of('lepu', allowed_regions=frozenset())
        context.first_by_zone[zone] = [
            (
                next(order.candidates(name, per_region=2)),
                next(order.candidates(name, per_region=2, prefers_own_zone=True)),
            )
            for name in context.objects
        ]


@then('the zone of 6 slots keeps all, and the others keep three quarters and give it the rest')
def step_kept(context):
    for zone, kept in (('attiki-a', 1), ('attiki-b', 0.75), ('attiki-c', 0.75)):
        near = [first for _, first in context.first_by_zone[zone] if not first.startswith('m')]
        own = [first for first in near if first.startswith(zone[-1])]
        assert abs(len(own) / len(near) - kept) < 0.06, (zone, len(own), len(near))
        others = {first[0] for first in near if first not in own}
        assert others <= {'a'}, others


@then('each object has the same region as without large exchanges')
def step_same_region(context):
    for first_targets in context.first_by_zone.values():
        for far, near in first_targets:
            assert far.startswith('m') == near.startswith('m')


@when("a route's exchanges of 400 bytes include one of 6,000, and another's have 3,000 each")
def step_exchanges(context):
    sizes = ExchangeSizes()
    context.large = []
    for number in range(6):
        sizes.note('small', sent_bytes=0, received_bytes=6_000 if number == 2 else 400)
        sizes.note('large', sent_bytes=500, received_bytes=2_500)
        context.large.append((sizes.are_large('small'), sizes.are_large('large')))


@then('the first is small and the second large after the fifth exchange')
def step_sizes(context):
    assert context.large == [(False, False)] * 4 + [(False, True)] * 2, context.large


@given('an object whose two targets have two slots each')
def step_two_targets(context):
    context.placement = Placement(make_entry('i-1'), make_entry('i-2'))


@when('requests for it arrive and none ends')
def step_arrive(context):
    _fill(context, make_route())


@when('requests of priority {priority:d} for it arrive and none ends')
def step_arrive_priority(context, priority):
    _fill(context, make_route(priority=priority))


@when('requests of a route without affinity arrive and none ends')
def step_arrive_without_objects(context):
    _fill(context, make_route(is_sticky=False))


@then('both targets take {count:d} in turn, and the next is rejected as {rejection_reason}')
def step_in_turn(context, count, rejection_reason):
    assert Counter(context.taken) == {'i-1': count, 'i-2': count}, context.taken
    pairs = zip(context.taken[::2], context.taken[1::2], strict=True)
    assert all(first != second for first, second in pairs), context.taken
    assert context.rejection.reason == rejection_reason


def _fill(context, route):
    context.taken = []
    while True:
        choice = context.placement.select(route)
        if isinstance(choice, Rejection):
            context.rejection = choice
            return
        choice.begin(route='r1', object_key='x', aim_s=0.5, now=0)
        context.taken.append(choice.entry.target_id)


@then(
    'the first target takes {first:d}, the second {second:d}, and the next is rejected as {rejection_reason}'
)
def step_taken(context, first, second, rejection_reason):
    first_id = context.taken[0]
    counts = Counter(context.taken)
    assert counts.pop(first_id) == first, context.taken
    assert sum(counts.values()) == second, context.taken
    assert context.rejection.reason == rejection_reason
    assert context.rejection.retry_after_s > 0


@when('its first target is down and its second one was tried')
def step_down(context):
    first = context.placement.select()
    first.note_down(check_at=0, now=0)
    second = context.placement.select()
    assert second.entry.target_id != first.entry.target_id
    context.choice = context.placement.select(tried=[second.entry.target_id])


@then('the request is rejected because no target is available')
def step_no_target(context):
    assert context.choice.reason == 'no_target', context.choice


@when('any number of hosts send to any cold target as fast as their rate limits allow')
def step_cold(context):
    context.hosts = st.integers(1, 50)
    context.order = lambda hosts: [frozenset(hosts)] * len(hosts)


@when('hosts learn of each other in any order from lists that contain all hosts')
def step_split(context):
    # The first host list is already complete, so gossip from peers adds no further hosts.
    context.hosts = st.integers(2, 40)
    context.order = lambda hosts: [frozenset(hosts) - {host} for host in hosts]


@then('no second has more requests than the rate that it tolerates')
def step_cold_rate(context):
    @for_all(context.hosts, st.floats(0, 60), st.integers(0, 99))
    def check(count, per_s, target):
        hosts = [f'h-{number}' for number in range(count)]
        gates = []
        for host, known in zip(hosts, context.order(hosts), strict=True):
            fleet = FleetHosts(own_host=host, own_region='attiki')
            fleet.replace(dict.fromkeys(known, 'attiki'))
            gates.append(WarmupLimiter(fleet=fleet))
        sent = []
        for step in range(40):
            now = step * 0.05
            for gate in gates:
                while gate.allows(f'i-{target}', per_s=per_s, now=now):
                    gate.record_sent(f'i-{target}', now=now)
                    sent.append(now)
        for start in range(40):
            seen = sum(start * 0.05 <= at < start * 0.05 + 1 for at in sent)
            assert seen <= per_s, (count, per_s)

    check()


@when('requests arrive and fail at hosts in any pattern')
def step_retries(context):
    pass


@then('no window has more retries than the limit allows')
def step_retry_bound(context):
    bounds = Bounds(retry_ratio=0.2, retry_slack=4, retry_window_s=10)

    @for_all(st.integers(1, 6), st.integers(0, 9_999))
    def check(count, seed):
        rng = random.Random(seed)
        budgets = [RetryBudgets(bounds=bounds, fleet_size=lambda: count) for _ in range(count)]
        requests, retries, now = [], [], 0.0
        for _ in range(400):
            now += rng.choice((0.001, 0.02, 0.5))
            budget = rng.choice(budgets).of('lepu')
            budget.note_request(now=now)
            requests.append(now)
            while rng.random() < 0.7:
                if budget.try_acquire(now=now):
                    retries.append(now)
        for end in retries:
            sent = _inside(retries, end)
            # The limit applies to the requests of this window, the previous one or the one that
            # began half a window earlier.
            demand = max(_inside(requests, end - before) for before in (0, 5, 10))
            assert sent <= 0.2 * demand + 4, (sent, demand)

    check()


def _inside(times, end):
    return sum(end - 10 <= at <= end for at in times)


@when('requests are distributed by any weights')
def step_split_route(context):
    pass


@then('in every sequence each service gets its share to within one for each other service')
def step_part_shares(context):
    @for_all(st.lists(st.integers(1, 100), min_size=1, max_size=5))
    def check(weights):
        parts = tuple(
            WeightedService(service=f's-{number}', weight=weight)
            for number, weight in enumerate(weights)
        )
        picker = WeightedRoundRobin()
        route = make_route(parts=parts)
        counts = Counter()
        for number in range(1, 200):
            counts[picker.pick(route)] += 1
            for part in parts:
                share = Fraction(int(part.weight), sum(weights)) * number
                assert abs(counts[part.service] - share) <= len(parts), (weights, counts)

    check()


@given('a registered target that is down')
def step_known_down(context):
    context.placement = Placement(make_entry('i-1', born_ms=1))
    context.state = context.placement.target_registry.state_of('i-1')
    context.state.note_down(check_at=0, now=0)
    context.state.failures = 3


@when('it registers again with another start time')
def step_restarted(context):
    context.placement.put(make_entry('i-1', born_ms=2, cold_left_s=3), now=10)


@then('its state is new and cold for the announced time')
def step_restarted_state(context):
    state = context.placement.target_registry.state_of('i-1')
    assert state is not context.state
    assert not state.is_down and not state.failures
    assert state.is_cold(now=12.9) and not state.is_cold(now=13)


@given('a service with targets in two regions of which those of the object are down')
def step_two_regions(context):
    near = [make_entry(f'i-{number}') for number in range(4)]
    far = [make_entry(f'j-{number}', availability_zone='makedonia-a') for number in range(2)]
    context.placement = Placement(*near, *far, region='attiki', availability_zone='attiki-a')
    order = context.placement.target_registry.order_of('lepu', allowed_regions=frozenset())
    for target_id in order.candidates('x', per_region=2):
        context.placement.target_registry.state_of(target_id).note_down(check_at=0, now=0)


@when('requests for the object are placed')
def step_place(context):
    context.first = context.placement.select()
    for state in context.placement.target_registry.states_by_id.values():
        if state.entry.region == 'attiki':
            state.note_down(check_at=0, now=0)
    context.second = context.placement.select()


@then('another target of the own region takes them, and one of the other region if none is up')
def step_elsewhere(context):
    assert context.first.entry.region == 'attiki', context.first
    assert isinstance(context.second, Rejection) or context.second.entry.region == 'makedonia'
    assert not isinstance(context.second, Rejection), context.second


def _complete_requests(
    context, target_id, *, took_s, count=1, ending=AttemptOutcome.answered, object_key='x'
):
    """Complete ``count`` consecutive requests at a target."""
    state = context.placement.target_registry.state_of(target_id)
    for _ in range(count):
        attempt = state.begin(route='r1', object_key=object_key, aim_s=0.5, now=context.now)
        context.now += took_s
        state.end(attempt, ending, now=context.now)


@given('responses of {which} that took {run_s:g} s')
def step_usual(context, which, run_s):
    context.now = 0
    context.order = _order(context)
    for target_id in context.order:
        # The first run of an object at a target is not included in the median.
        _complete_requests(context, target_id, took_s=run_s, count=10)


def _order(context):
    order = context.placement.target_registry.order_of('lepu', allowed_regions=frozenset())
    return list(order.candidates('x', per_region=4))


def _chosen(context, at):
    return context.placement.select(now=at).entry.target_id


@when('three responses of the first target take {run_s:g} s')
def step_slow(context, run_s):
    _complete_requests(context, context.order[0], took_s=run_s, count=3)


@when('two requests have been at the first target for {age_s:g} s')
def step_overdue(context, age_s):
    state = context.placement.target_registry.state_of(context.order[0])
    for _ in range(2):
        state.begin(route='r1', object_key='x', aim_s=0.5, now=context.now)
    context.now += age_s


@when('requests that found four others at the first target take {run_s:g} s')
def step_queued(context, run_s):
    state = context.placement.target_registry.state_of(context.order[0])
    for _ in range(5):
        others = [
            state.begin(route='r1', object_key='x', aim_s=0.5, now=context.now) for _ in range(4)
        ]
        _complete_requests(context, context.order[0], took_s=run_s)
        for attempt in others:
            state.end(attempt, AttemptOutcome.abandoned, now=context.now)


@when('the first target takes {run_s:g} s for each of ten new objects')
def step_new_objects(context, run_s):
    for number in range(10):
        _complete_requests(context, context.order[0], took_s=run_s, object_key=f'new {number}')


@when('the first target loses a response')
def step_lost(context):
    _complete_requests(context, context.order[0], took_s=0.1, ending=AttemptOutcome.failed)


@when('the first target loses two more responses')
def step_lost_more(context):
    _complete_requests(
        context, context.order[0], took_s=0.1, count=2, ending=AttemptOutcome.failed
    )


@then('the {position} target is chosen')
def step_chosen(context, position):
    expected = context.order[('first', 'second').index(position)]
    assert _chosen(context, context.now) == expected, context.placement.target_registry.dump(
        now=context.now
    )


@then('the second target is chosen, and the first one again {later_s:g} s later')
def step_chosen_again(context, later_s):
    assert _chosen(context, context.now) == context.order[1]
    assert _chosen(context, context.now + later_s) == context.order[0]


@given('an object with four targets of two slots each')
def step_four(context):
    context.placement = Placement(*(make_entry(f'i-{number}') for number in range(4)))


@when('three responses of its first two targets take {run_s:g} s')
def step_both_slow(context, run_s):
    started = context.now
    for target_id in context.order[:2]:
        context.now = started
        _complete_requests(context, target_id, took_s=run_s, count=3)


@then('its third target is chosen, and its first one when the others are full')
def step_third(context):
    assert _chosen(context, context.now) == context.order[2]
    for target_id in context.order[2:]:
        state = context.placement.target_registry.state_of(target_id)
        for _ in range(2):
            state.begin(route='r1', object_key='y', aim_s=0.5, now=context.now)
    assert _chosen(context, context.now) == context.order[0]
