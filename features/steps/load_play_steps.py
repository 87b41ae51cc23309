"""Steps of load_play.feature."""

from dataclasses import replace
from unittest import mock

from behave import given, then, when

from balsamrail.placement.target_state import TargetState
from standins.load_play import Change, play, selokosmos, suryatap

SLOW_FROM_S = 8
SLOW_UNTIL_S = 16
WINDOW_S = 2


@given('the load of Suryatap at twice its usual rate for {length:d} s')
def step_site(context, length):
    context.site = suryatap(load=2)
    context.length_s = length


@when('it is played with objects of large exchanges placed in each zone and once in a region')
def step_near(context):
    context.near, context.far = (
        play(context.site, seed=context.seed, length_s=context.length_s, keeps_near=is_near)
        for is_near in (True, False)
    )
    print(f'{context.near.zone_bytes} of {context.far.zone_bytes} bytes cross zones')


@then('at most half of the bytes cross zones')
def step_bytes(context):
    assert context.near.zone_bytes <= context.far.zone_bytes / 2


@then('at most one more run for each object and zone is of a new object')
def step_new(context):
    regions = set(context.site.region_by_zone().values())
    objects = sum(kind.objects for kind in context.site.kinds) * len(regions)
    more = context.near.sends['new'] - context.far.sends['new']
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


@when('it is played with slow targets found out and not, from three seeds')
def step_found_out(context):
    def play_all():
        seeds = range(context.seed, context.seed + 3)
        return [play(context.site, seed=seed, length_s=context.length_s) for seed in seeds]

    context.found = play_all()
    with mock.patch.object(TargetState, 'is_bad', lambda self, now: False):
        context.blind = play_all()


@then('more credit is earned while the targets are slow, and as much before')
def step_more(context):
    slow = range(SLOW_FROM_S // WINDOW_S, SLOW_UNTIL_S // WINDOW_S)
    before = range(SLOW_FROM_S // WINDOW_S)
    found, blind = (
        [sum(tally.credit_in(windows) for tally in tallies) / 3 for windows in (slow, before)]
        for tallies in (context.found, context.blind)
    )
    print(f'credit while slow {found[0]:.3f}, without {blind[0]:.3f}')
    assert found[0] > blind[0], (found, blind)
    assert found[1] >= blind[1] - 0.01, (found, blind)
