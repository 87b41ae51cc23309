"""Steps of directory.feature."""

from behave import given, then, when
from placement_parts import REGION_BY_ZONE, make_manifest, make_route
from platform_helpers import RecordedLog, make_environment, make_member
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.fleet.directory import Directory

NAME = 'lepu.example'


class FakeMembers:
    def __init__(self, zones):
        self.zones = zones
        self.suspected_zones = []

    def advertised(self):
        return [
            make_member(
                f'{zone}-1',
                availability_zone=zone,
                region=REGION_BY_ZONE[zone],
                caller_address=f'{zone}:80',
                state='suspect' if zone in self.suspected_zones else 'alive',
            )
            for zone in self.zones
        ]


@given('hosts in attiki and makedonia, and none in kriti')
def step_hosts(context):
    context.log = RecordedLog()
    context.members = FakeMembers(['attiki-a', 'attiki-b', 'makedonia-a'])


@when(
    'a caller in kriti looks up hosts {count:d} times, '
    'and once more after a host of kriti has joined'
)
def step_series(context, count):
    async def scenario():
        directory, _, environment = _make_directory(context)
        for _ in range(count):
            directory.addresses(name=NAME, region='kriti')
        context.members.zones.append('kriti-a')
        directory.addresses(name=NAME, region='kriti')
        context.metrics = environment.metrics

    run_virtual(scenario())


def _make_directory(context, *, is_starting=False):
    environment = make_environment(log=context.log, region_by_availability_zone=REGION_BY_ZONE)
    catalog = Catalog(environment=environment)
    if not is_starting:
        catalog.offer_manifest(make_manifest(make_route()))
    directory = Directory(environment=environment, catalog=catalog, members=context.members)
    return directory, catalog, environment


@when(
    'a caller in kriti looks up hosts at a host of kriti that is starting, '
    'and again when it is ready'
)
def step_starting(context):
    async def scenario():
        directory, catalog, _ = _make_directory(context, is_starting=True)
        context.listed_at_first = directory.addresses(name=NAME, region='kriti', zone='kriti-a')
        catalog.offer_manifest(make_manifest(make_route()))
        context.members.zones.append('kriti-a')
        context.listed = directory.addresses(name=NAME, region='kriti', zone='kriti-a')

    run_virtual(scenario())


@then('no host is returned at first, and then the host of kriti')
def step_none_then_local(context):
    assert not context.listed_at_first, context.listed_at_first
    assert context.listed == ['kriti-a:80'], context.listed


@when('a caller in kriti looks up hosts at a host that is ready')
def step_serving(context):
    async def scenario():
        directory, _, _ = _make_directory(context)
        context.listed = directory.addresses(name=NAME, region='kriti', zone='kriti-a')

    run_virtual(scenario())


@then('the hosts of attiki and makedonia are returned')
def step_others_listed(context):
    assert sorted(context.listed) == ['attiki-a:80', 'attiki-b:80', 'makedonia-a:80'], (
        context.listed
    )


@then(
    'one log line reports that hosts of attiki and makedonia were returned, and one the end '
    'after {count:d}'
)
def step_series_logged(context, count):
    outside = [line for line in context.log.lines if 'event=lookup_outside_region' in line]
    inside = [line for line in context.log.lines if 'event=lookup_inside_again' in line]
    assert len(outside) == 1 and 'named=attiki,makedonia' in outside[0], outside
    assert len(inside) == 1 and f'outside={count}' in inside[0], inside


@then('{count:d} look-ups are counted as answered with hosts of other regions')
def step_counted(context, count):
    assert context.metrics.counter('lookups_outside_region') == count


@when('callers look up hosts from {count:d} regions that do not exist, at a host that is ready')
def step_unknown_regions(context, count):
    async def scenario():
        directory, _, _ = _make_directory(context)
        for number in range(count):
            directory.addresses(name=NAME, region=f'region {number}')
        context.dump = directory.dump()

    run_virtual(scenario())


@then('at most {lines:d} log lines report it and {counters:d} counter is kept')
def step_bounded(context, lines, counters):
    lookup_lines = [line for line in context.log.lines if 'event=lookup_' in line]
    assert len(lookup_lines) <= lines, len(lookup_lines)
    assert len(context.dump['outside_by_region']) == counters, context.dump


@when('the hosts of {zones} are suspected and a caller in attiki-a looks up hosts')
def step_suspected(context, zones):
    async def scenario():
        directory, _, _ = _make_directory(context)
        context.listed = directory.addresses(name=NAME, region='attiki', zone='attiki-a')

    context.members.suspected_zones = zones.split(', ')
    run_virtual(scenario())


@then('{zones} are returned, in this order')
def step_in_order(context, zones):
    assert context.listed == [f'{zone}:80' for zone in zones.split(', ')], context.listed
