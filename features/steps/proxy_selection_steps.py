"""Steps of proxying.feature without a network."""

import asyncio
import random
from collections import Counter

from behave import given, then, when
from delivery_parts import DeliveryHarness, response_to
from directory_steps import NAME
from hypothesis import given as with_examples
from hypothesis import strategies
from placement_parts import REGION_BY_ZONE, make_manifest, make_route
from platform_helpers import make_environment, make_member, run_real
from tornado.httputil import HTTPHeaders
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.http_message import HttpResponse
from balsamrail.errors import OutcomeUnknownError
from balsamrail.fleet.directory import Directory
from balsamrail.placement.path_monitor import PathMonitor
from balsamrail.platform.headers import HANDOVER
from balsamrail.platform.proxy_protocol import ProxyProtocol, decode_handover, encode_outcome
from balsamrail.proxying.handover import Handover
from balsamrail.proxying.proxy_host_selector import ProxyHostSelector

REQUESTS = 40


class Members:
    def __init__(self, members):
        self.members = members

    def advertised(self):
        return self.members


def selecting(members, play, *, host='attiki-a-0', zone='attiki-a', region='attiki'):
    """Call ``play`` with the selector of one host, on virtual time."""

    async def run():
        environment = make_environment(host=host, availability_zone=zone, region=region)
        return play(ProxyHostSelector(environment=environment, members=Members(members)))

    return run_virtual(run())


def member(host, zone, **changes):
    return make_member(host, availability_zone=zone, region=zone.split('-')[0], **changes)


@given('hosts in three regions')
def step_regions(context):
    zones = ('attiki-a', 'attiki-b', 'makedonia-a', 'kriti-a')
    context.members = [member(f'{zone}-{n}', zone) for zone in zones for n in range(3)]


@when('a host of attiki without paths selects others for requests confined to some regions')
def step_confined(context):
    def play(selector):
        found = {}
        for regions in (('makedonia',), ('kriti', 'makedonia'), ('attiki',), ('ipiros',)):
            found[regions] = [
                selector.select(allowed_regions=frozenset(regions), excluded=())
                for _ in range(REQUESTS)
            ]
        return found

    context.found = selecting(context.members, play)


@then('each is in one of these, and there is none for a region without hosts')
def step_in_regions(context):
    for regions, found in context.found.items():
        if regions == ('ipiros',):
            assert found == [None] * REQUESTS, found
        else:
            assert all(one.region in regions for one in found), (regions, found)


@given('hosts of which some are degraded, suspected, starting, leaving, or refused just now')
def step_states(context):
    context.members = [
        member('attiki-a-0', 'attiki-a'),
        *(
            member(f'attiki-a-{state}', 'attiki-a', state=state)
            for state in ('degraded', 'suspect', 'starting', 'leaving', 'gone')
        ),
        member('attiki-a-refused', 'attiki-a'),
        member('attiki-a-1', 'attiki-a'),
        member('attiki-b-1', 'attiki-b'),
        member('makedonia-a-1', 'makedonia-a'),
    ]


@when('a host without paths selects others for requests')
def step_select(context):
    def play(selector):
        selector.note_unusable('attiki-a-refused')
        found = []
        while True:
            one = selector.select(allowed_regions=frozenset(), excluded=found)
            if one is None:
                return found
            found.append(one.host)

    context.found = selecting(context.members, play)


@then('only hosts that serve are selected, those of its zone first and then those of its region')
def step_order(context):
    assert context.found == ['attiki-a-1', 'attiki-b-1', 'makedonia-a-1'], context.found


@given('a host whose targets respond immediately')
def step_targets(context):
    async def respond(number, headers, writer):
        writer.write(response_to(headers))

    context.delivery = DeliveryHarness([respond])


@when('the handover header of a request is {header}')
def step_header(context, header):
    async def play():
        delivery = await context.delivery.start()
        request = delivery.request('r-1', '/read/x', 'x', 2.0)
        request.headers[HANDOVER] = header
        request.handover = decode_handover(request.headers)
        context.handover = request.handover
        context.response = await delivery.dispatcher.handle(request)
        context.heads = delivery.targets[0].heads
        delivery.stop()

    run_real(play())


@then('the request is served as that of a caller, and no target gets the header')
def step_as_caller(context):
    assert context.handover is None, context.handover
    assert context.response.body == b'whole'
    assert HANDOVER.lower() not in context.heads[0].lower(), context.heads


IDS = strategies.lists(
    strategies.text(strategies.characters(exclude_categories=('Cs',)), min_size=1, max_size=20),
    max_size=16,
)


@when('any target ids and host names are sent between hosts and back')
def step_any_names(context):
    context.checked = 0

    @with_examples(
        strategies.text(
            strategies.characters(exclude_categories=('Cs',)), min_size=1, max_size=20
        ),
        strategies.integers(0, 999),
        IDS,
        IDS,
    )
    def check(origin, attempts, tried, sent):
        request = EntryRequest(
            request_id='r-1',
            method='GET',
            host='lepu.example',
            path='/read/x',
            headers=HTTPHeaders({'X-Request-Id': 'r-1', HANDOVER: 'origin=y attempts=9'}),
            object_key='x',
            arrived_at=0,
            caller_timeout_s=2,
        )
        handover = Handover(origin=origin, max_attempts=attempts, tried=tuple(tried))
        encoded = ProxyProtocol().encode_request(request, handover=handover, left_s=1)
        assert decode_handover(encoded.headers) == handover
        handover.attempted = sent
        error = OutcomeUnknownError(detail='x')
        response = HttpResponse(
            status=504,
            reason='Late',
            headers=HTTPHeaders(
                {HANDOVER: encode_outcome(handover, error=error), 'X-Request-Id': 'r-1'}
            ),
            body=b'',
            keep_alive=True,
            keep_alive_timeout_s=None,
        )
        found = ProxyProtocol().decode_reply(request, response)
        assert found.attempted == tuple(sent) and found.has_timed_out
        context.checked += 1

    check()


@then('each arrives as it was')
def step_arrives(context):
    assert context.checked


@given('a fleet of {count:d} hosts in 3 regions')
def step_fleet_of(context, count):
    zones = [f'{region}-{zone}' for region in ('attiki', 'makedonia', 'kriti') for zone in 'abc']
    context.members = [member(f'h-{n}', zones[n % len(zones)]) for n in range(count)]


def cut_of(members, cut):
    own_region = [one for one in members if one.region == 'attiki']
    match cut:
        case 'one':
            return own_region[:1]
        case 'a rack of 8':
            return [one for one in own_region if one.availability_zone == 'attiki-a'][:8]
        case 'a zone':
            return [one for one in own_region if one.availability_zone == 'attiki-a']
        case 'two thirds of a region':
            return own_region[: len(own_region) * 2 // 3]
    raise AssertionError(cut)


@when('{cut} of them lose their paths and each sends 40 requests through others')
def step_lose(context, cut):
    random.seed(1)
    context.cut = cut_of(context.members, cut)
    names = {one.host for one in context.cut}
    members = [
        member(one.host, one.availability_zone, state='degraded' if one.host in names else 'alive')
        for one in context.members
    ]
    context.found = []
    for one in context.cut:

        def play(selector):
            found = []
            for _ in range(REQUESTS):
                host = selector.select(allowed_regions=frozenset(), excluded=())
                selector.begin(host.host)
                found.append(host)
            return found

        context.found += selecting(
            members,
            play,
            host=one.host,
            zone=one.availability_zone,
            region=one.region,
        )


@then('each finds one, in its region if any is left there')
def step_finds(context):
    assert len(context.found) == REQUESTS * len(context.cut)
    assert all(one.region == 'attiki' for one in context.found)


@then('no host near them gets more than 3 times its part')
def step_part(context):
    by_host = Counter(one.host for one in context.found)
    part = len(context.found) / len(by_host)
    assert max(by_host.values()) <= 3 * part, by_host


@given('a host that follows the state of its paths')
def step_paths(context):
    context.monitor = PathMonitor()


@when('{count:d} targets fail')
def step_fail(context, count):
    for number in range(count):
        context.monitor.note_failure(f'i-{number}', now=number)


@when('{count:d} targets fail, and another responds in between')
def step_fail_between(context, count):
    for number in range(count):
        context.monitor.note_failure(f'i-{number}', now=number)
        if number == 1:
            context.monitor.note_contact(now=1)


@when('{count:d} targets fail, and then one responds')
def step_fail_then(context, count):
    step_fail(context, count)
    context.monitor.note_contact(now=1)


@when('{count:d} targets fail while others respond')
def step_fail_while(context, count):
    for number in range(count):
        context.monitor.note_failure(f'i-{number}', now=number)
        context.monitor.note_contact(now=number)


@when('1 target fails {count:d} times')
def step_fail_often(context, count):
    for _ in range(count):
        context.monitor.note_failure('i-1', now=0)


@then('the paths are lost')
def step_lost(context):
    assert context.monitor.is_lost()


@then('the paths are not lost')
def step_not_lost(context):
    assert not context.monitor.is_lost()


@given('hosts of which some are degraded')
def step_degraded(context):
    context.states = {
        'attiki-a': ('alive', 'degraded'),
        'attiki-b': ('degraded', 'degraded'),
        'attiki-c': ('alive', 'alive'),
        'makedonia-a': ('degraded', 'degraded', 'alive'),
        'kriti-a': ('degraded', 'degraded'),
    }


@when('callers look up hosts')
def step_look_up(context):
    members = Members(
        [
            make_member(
                f'{zone}-{n}',
                availability_zone=zone,
                region=REGION_BY_ZONE[zone],
                state=state,
                caller_address=f'{zone}-{n}',
            )
            for zone, states in context.states.items()
            for n, state in enumerate(states)
        ]
    )

    async def play():
        environment = make_environment(region_by_availability_zone=REGION_BY_ZONE)
        catalog = Catalog(environment=environment)
        catalog.offer_manifest(make_manifest(make_route()))
        directory = Directory(environment=environment, catalog=catalog, members=members)
        context.found = {
            zone: directory.addresses(name=NAME, region=REGION_BY_ZONE[zone], zone=zone)
            for zone in context.states
        }
        await asyncio.sleep(0)

    run_virtual(play())


@then('they get the others of the zone, or of the region, if these are at least half of them')
def step_preferred(context):
    assert context.found == {
        'attiki-a': ['attiki-a-0'],
        'attiki-b': ['attiki-a-0', 'attiki-c-0', 'attiki-c-1'],
        'attiki-c': ['attiki-c-0', 'attiki-c-1'],
        'makedonia-a': ['makedonia-a-0', 'makedonia-a-1', 'makedonia-a-2'],
        'kriti-a': ['kriti-a-0', 'kriti-a-1'],
    }, context.found
