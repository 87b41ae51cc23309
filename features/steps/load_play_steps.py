"""Steps of load_play.feature."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when

from balsamrail.placement.target_state import TargetState
from standins.load_play import (
    Change,
    deployment_k,
    deployment_l,
    play,
    selokosmos,
    selokosmos_large,
    suryatap,
)

SLOW_FROM_S = 8
SLOW_UNTIL_S = 16
WINDOW_S = 2


@given('the load of Suryatap at twice its usual rate for {length:d} s')
def step_site(context, length):
    context.site = suryatap(load=2)
    context.length_s = length


@when('it is simulated with large-exchange objects placed per zone and once per region')
def step_near(context):
    context.zonal, context.regional = (
        play(context.site, seed=context.seed, length_s=context.length_s, keeps_near=is_zonal)
        for is_zonal in (True, False)
    )
    print(f'{context.zonal.zone_bytes} of {context.regional.zone_bytes} bytes cross zones')


@then('at most half of the bytes cross zone boundaries')
def step_bytes(context):
    assert context.zonal.zone_bytes <= context.regional.zone_bytes / 2


@then('there is at most one additional first run for each object and zone')
def step_new(context):
    regions = set(context.site.region_by_zone().values())
    objects = sum(kind.objects for kind in context.site.kinds) * len(regions)
    more = context.zonal.sends['new'] - context.regional.sends['new']
    assert more <= objects * 2, (more, objects)


@given(
    'the load of Selokosmos at {load:g} times its usual rate for {length:d} s,'
    ' {share:d}% of diary {factor:d} times slower'
)
def step_slow_site(context, load, length, share, factor):
    change = Change(
        at_s=SLOW_FROM_S,
        for_s=SLOW_UNTIL_S - SLOW_FROM_S,
        service='diary',
        share=share / 100,
        factor=factor,
    )
    context.site = replace(selokosmos(load=load), changes=(change,))
    context.length_s = length


@when('it is simulated with and without slow-target detection, from three seeds')
def step_detection(context):
    def play_all():
        seeds = range(context.seed, context.seed + 3)
        return [play(context.site, seed=seed, length_s=context.length_s) for seed in seeds]

    context.detected = play_all()
    with mock.patch.object(TargetState, 'is_bad', lambda self, now: False):
        context.undetected = play_all()


@then('the credit is higher while the targets are slow, and as high before')
def step_more(context):
    slow = range(SLOW_FROM_S // WINDOW_S, SLOW_UNTIL_S // WINDOW_S)
    before = range(SLOW_FROM_S // WINDOW_S)
    detected, undetected = (
        [sum(tally.credit_in(windows) for tally in tallies) / 3 for windows in (slow, before)]
        for tallies in (context.detected, context.undetected)
    )
    print(f'credit while slow {detected[0]:.3f}, without {undetected[0]:.3f}')
    assert detected[0] > undetected[0], (detected, undetected)
    assert detected[1] >= undetected[1] - 0.01, (detected, undetected)


@given(
    'the load of the large fleet of Selokosmos for {length:d} s,'
    ' at {factor:g} times its rate from {begin:d} s to {end:d} s'
)
def step_large(context, length, factor, begin, end):
    context.site = replace(selokosmos_large(), bursts=((begin, end, factor),))
    context.length_s = length


@when("it is simulated with the product's placement, from three seeds")
def step_large_play(context):
    context.plays = [
        play(context.site, seed=seed, length_s=context.length_s)
        for seed in range(context.seed, context.seed + 3)
    ]


@then('no caller is rejected')
def step_none_rejected(context):
    rejected = [statistics.outcome_fraction('refused') for statistics in context.plays]
    assert not any(rejected), rejected


@then('an object is run first on at most a quarter more targets than there are objects')
def step_first_runs(context):
    regions = set(context.site.region_by_zone().values())
    objects = sum(kind.objects for kind in context.site.kinds) * len(regions)
    first_runs = [statistics.sends['new'] for statistics in context.plays]
    print(f'{first_runs} first runs of {objects} objects')
    assert max(first_runs) <= objects * 1.25, (first_runs, objects)


@then(
    'no kind of request is in time less often than a less urgent one of its service'
    ' by over {margin:g}'
)
def step_urgency(context, margin):
    for statistics in context.plays:
        in_time = {
            kind: counts['in_aim'] / counts.total() for kind, counts in statistics.outcomes.items()
        }
        for kind in context.site.kinds:
            for other in context.site.kinds:
                if other.service == kind.service and other.priority > kind.priority:
                    assert in_time[kind.name] >= in_time[other.name] - margin, in_time


@given(
    'the load of deployment {name} for {length:d} s,'
    ' {load:g} times a quarter of it on an eighth of the fleet'
)
def step_dense(context, name, length, load):
    make = {'K': deployment_k, 'L': deployment_l}[name]
    context.site = make(load=load, is_dense=True)
    context.length_s = length


@given('the load of deployment {name} for {length:d} s')
def step_deployment(context, name, length):
    context.site = {'K': deployment_k, 'L': deployment_l}[name]()
    context.length_s = length


@then(
    'the credit is at least {credit:g},'
    ' and at most {failed:g} of the requests end without a response'
)
def step_credit(context, credit, failed):
    credits = [statistics.credit() for statistics in context.plays]
    failures = [statistics.outcome_fraction('failed') for statistics in context.plays]
    print(f'credit {credits}, without a response {failures}')
    assert sum(credits) / len(credits) >= credit, credits
    assert sum(failures) / len(failures) <= failed, failures


@then('no kind of request and no zone gets less than a quarter of the credit of all')
def step_starved(context):
    for statistics in context.plays:
        least = min(statistics.min_kind_credit(), statistics.min_zone_credit())
        assert least >= statistics.credit() / 4, (least, statistics.credit())


@then('at most 1 in 200 callers is rejected')
def step_few_rejected(context):
    rejected = [statistics.outcome_fraction('refused') for statistics in context.plays]
    assert max(rejected) <= 1 / 200, rejected
