"""Steps of target_limits.feature for all hosts of a fleet together."""

import random

from behave import given, then, when
from hypothesis import example
from hypothesis import given as for_all
from hypothesis import strategies as st
from limit_fleet import REGIONS, WINDOW_S, LimitedTarget, LimitPlay, allowed_in_window

from balsamrail.placement.fleet_hosts import FleetHosts
from balsamrail.placement.target_share import TargetShare

NAMED_AT_S = 4.0
PLAYED_S = 24.0
SEEDS = (1, 2, 3)
TARGET_COUNT = 6


@given(
    '{hosts:d} hosts, and targets in need that name limits of {low:g} to {high:g} requests a second'
)
def step_hosts(context, hosts, low, high):
    context.hosts = hosts
    context.bounds = (low, high)


def make_targets(context, rng, *, changes=False, ends_at=None):
    low, high = context.bounds
    targets = []
    for number in range(TARGET_COUNT):
        limits = [(0, None), (NAMED_AT_S, round(rng.uniform(low, high), 1))]
        if changes:
            limits += [
                (9, round(rng.uniform(low, high), 1)),
                (14, None),
                (15, round(rng.uniform(low, high), 1)),
            ]
        if ends_at is not None:
            limits.append((ends_at, None))
        region = REGIONS[number % len(REGIONS)]
        targets.append(LimitedTarget(f'i-{number}', region, limits))
    return targets


def _restart_in_turn(play):
    for number, host in enumerate(play.hosts[:60]):
        play.after(5 + number * 15 / min(60, len(play.hosts)), _restart, host)


def _restart(host):
    host.start(known=host.play.region_by_host)


def _forget_some(play, rng):
    for host in play.hosts:
        known = rng.sample(sorted(play.region_by_host), round(0.9 * len(play.hosts)))
        host.start(known={name: play.region_by_host[name] for name in known})


def _send_bursts(play, rng):
    """Let every host send 40 requests at once to a target, after a pause."""
    for at in (9.0, 14.5, 21.0):
        target = rng.choice(play.targets)
        for host in play.hosts:
            for _ in range(40):
                play.after(at, host.request, target, 0)


def _usual_rate(hosts):
    """Return the requests a second of one host to a target of its region: 12 for all together."""
    return 12 * len(REGIONS) / hosts


@when('each host sends requests to them {case}')
def step_send(context, case):
    context.plays = []
    for seed in SEEDS:
        rng = random.Random(seed)
        targets = make_targets(context, rng, changes=case.startswith('while the limits'))
        play = LimitPlay(
            rng,
            hosts=context.hosts,
            targets=targets,
            per_s=2 * _usual_rate(context.hosts) if 'bursts' not in case else 0.01,
            report_loss=1.0 if 'no report' in case else 0.0,
        )
        if 'nine tenths' in case:
            _forget_some(play, rng)
        elif 'restarts' in case:
            _restart_in_turn(play)
        elif 'bursts' in case:
            # The first requests tell the hosts.
            for host in play.hosts:
                for target in targets:
                    play.after(rng.uniform(NAMED_AT_S, NAMED_AT_S + 1), host.request, target, 0)
            _send_bursts(play, rng)
        play.run(PLAYED_S)
        context.plays.append(play)


@then('no target gets more than it allows in any 4 s from hosts that it has told')
def step_kept(context):
    breaches = [
        breach for play in context.plays for target in play.targets for breach in target.breaches()
    ]
    assert not breaches, breaches[:5]
    assert all(target.arrivals for play in context.plays for target in play.targets)


@then('each target gets at least a third of its limit')
def step_used(context):
    for play in context.plays:
        for target in play.targets:
            limit = target.limit_at(PLAYED_S)
            per_s = target.count(10, PLAYED_S) / (PLAYED_S - 10)
            assert per_s >= limit / 3, (target.entry.target_id, limit, per_s)


@then('more urgent requests are refused less often than others')
def step_urgent(context):
    for play in context.plays:
        refused = [
            play.refused_by_priority[priority]
            / (play.refused_by_priority[priority] + play.sent_by_priority[priority])
            for priority in (0, 2)
        ]
        assert refused[0] <= refused[1], refused


@when('the limits end, and reports of other hosts {arrive}')
def step_end(context, arrive):
    context.ended_at = 12.0
    context.plays = []
    for seed in SEEDS[:1]:
        rng = random.Random(seed)
        targets = make_targets(context, rng, ends_at=context.ended_at)
        context.plays.append(
            LimitPlay(
                rng,
                hosts=context.hosts,
                targets=targets,
                per_s=2 * _usual_rate(context.hosts),
                report_loss=1.0 if arrive == 'do not arrive' else 0.0,
            )
        )


@then(
    'within {back_s:g} s of the end each host near the targets may send any number of requests to them'
)
def step_near_back(context, back_s):
    _check_back(context, back_s, is_near_only=True)


@then('within {back_s:g} s of the end each host may send any number of requests to them')
def step_back(context, back_s):
    _check_back(context, back_s, is_near_only=False)


def _check_back(context, back_s, *, is_near_only):
    for play in context.plays:
        play.run(context.ended_at + back_s)
        limited = [
            (host.name, target_id)
            for host in play.hosts
            for target_id, state in host.state_by_id.items()
            if state.availability.limit is not None
            and (not is_near_only or state.entry.region == host.region)
        ]
        assert not limited, limited[:5]


@when('fleets of any size and regions divide any limit')
def step_divide(context):
    pass


@then('their rates and bursts together stay within it in any 4 s, and nobody fails')
def step_shares_fit(context):
    @for_all(
        st.lists(st.sampled_from((*REGIONS, '')), min_size=1, max_size=60),
        st.one_of(
            st.floats(0, 100), st.floats(min_value=0, allow_nan=False, allow_infinity=False)
        ),
    )
    @example(['attiki'], 1.7e308)
    @example(['makedonia'] * 9, 5e-324)
    def check(regions, limit):
        region_by_host = {f'h-{number}': region for number, region in enumerate(regions)}
        total = 0
        for host, region in region_by_host.items():
            fleet = FleetHosts(own_host=host, own_region=region or 'attiki')
            fleet.replace(region_by_host)
            share = TargetShare.of(fleet, target_id='i-1', region='attiki', limit_per_s=limit)
            assert share.per_s > 0
            # A host without a share may use a turn at the start of the window.
            total += share.per_s * WINDOW_S + (share.capacity or share.per_s * 2)
        assert total <= allowed_in_window(limit), (total, limit)

    check()
