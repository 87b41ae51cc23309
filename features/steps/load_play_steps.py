"""Steps of load_play.feature."""

from behave import given, then, when

from standins.load_play import play, suryatap


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
