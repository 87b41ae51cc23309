"""Steps of customers.feature about requests between hosts, and about fingerprints."""

from unittest import mock

from behave import given, then, when
from customer_parts import (
    ACME,
    ACME_KEY,
    ACME_OLD_KEY,
    BRIO,
    BRIO_KEY,
    customer,
    make_request,
    manifest,
    manifest_spec,
    outcome_of,
    received,
    respond,
)
from customers_steps import KEYS, plan_of, run_host
from delivery_parts import DeliveryHarness
from entry_fleet import HOST_NAME, EntryFleet
from entry_steps import _play
from forwarding_parts import RawUpstream
from hypothesis import given as for_all
from hypothesis import strategies
from platform_helpers import make_member, run_real
from proxying_steps import HANDOVER, ProxyHarness, reply, serve
from tornado.httputil import HTTPHeaders

from balsamrail.delivery.request_fingerprint import RequestFingerprint
from balsamrail.errors import NoTargetError
from balsamrail.exchange.fingerprint import digest_of
from balsamrail.placement.path_monitor import PathMonitor
from balsamrail.platform.manifest_reader import read_manifest
from balsamrail.platform.proxy_protocol import ProxyProtocol, decode_handover
from balsamrail.proxying.handover import Handover


async def knows_no_customer(number, headers, writer):
    writer.write(reply(headers, 'not_run', status=b'503 No', code='unknown_customer'))


@given('a host and a peer, and a customer whose home region is none of the route')
def step_no_common_region(context):
    context.manifest = manifest(
        customer('acme', ACME_KEY, allowedRegions=['makedonia']),
        routes={'/read/': {'allowedRegions': ['attiki']}},
    )


@when('the customer sends a request')
def step_sends(context):
    async def play():
        delivery = await DeliveryHarness([respond]).start()
        peer = await RawUpstream(serve).start()
        delivery.members['near'] = make_member('near', peer_address=peer.address)
        delivery.catalog.offer_manifest(context.manifest)
        context.outcome = await outcome_of(delivery, make_request(**KEYS['a known key']))
        context.heads = [*delivery.targets[0].heads, *peer.heads]
        peer.stop()
        delivery.stop()

    run_real(play())


@then('it is rejected as "no_target", and neither a target nor the peer gets it')
def step_rejected(context):
    error = context.outcome
    assert isinstance(error, NoTargetError), error
    assert (error.status, error.outcome) == (503, 'not_run'), error
    assert not context.heads, context.heads


@given('a host without paths to targets, and a peer')
def step_no_paths(context):
    context.proxying = ProxyHarness(serve, serve)


@given('a host without paths to targets, whose near peer does not know the customer')
def step_near_older(context):
    context.proxying = ProxyHarness(knows_no_customer, serve)


@when("it sends a customer's request through the peer")
def step_through_peer(context):
    async def play():
        delivery = await context.proxying.start()
        delivery.catalog.offer_manifest(manifest(customer('acme & co', ACME_KEY)))
        request = make_request(X_Tenant='brio', **KEYS['a known key'])
        context.outcome = await outcome_of(delivery, request)
        for peer in context.proxying.peers:
            peer.stop()
        delivery.stop()

    run_real(play())


@given(
    "a host without paths to targets, with a peer in its region and one in the customer's home region"
)
def step_home_peer(context):
    context.proxying = ProxyHarness(serve, serve)


@when("it sends a customer's request through a peer")
def step_through_home(context):
    async def play():
        delivery = await context.proxying.start()
        delivery.members['far'] = make_member(
            'far',
            availability_zone='makedonia-a',
            region='makedonia',
            peer_address=delivery.members['far'].peer_address,
        )
        delivery.catalog.offer_manifest(
            manifest(customer('acme', ACME_KEY, allowedRegions=['makedonia']))
        )
        context.outcome = await outcome_of(delivery, make_request(**KEYS['a known key']))
        for peer in context.proxying.peers:
            peer.stop()
        delivery.stop()

    run_real(play())


@then('only the peer in the home region gets it')
def step_home_only(context):
    assert context.outcome.status == 200, context.outcome
    assert [len(peer.heads) for peer in context.proxying.peers] == [0, 1]


def check_named(peer):
    (head,) = peer.heads
    fields = received(peer)
    assert fields['x-tenant'] == 'acme & co', fields
    assert ' customer=acme%20%26%20co' in fields[HANDOVER.lower()], fields
    assert ACME_KEY not in head and 'authorization' not in fields, head


@then('the peer gets the name in both headers and not the key')
def step_peer_fields(context):
    assert context.outcome.status == 200, context.outcome
    near, far = context.proxying.peers
    check_named(near)
    assert not far.heads


@then('the far peer serves it')
def step_far_serves(context):
    assert context.outcome.status == 200, context.outcome
    for peer in context.proxying.peers:
        check_named(peer)


@given('two hosts with customers, one of which has lost its paths to targets')
def step_two_hosts(context):
    context.fleet = EntryFleet(attiki=2, makedonia=0)


@when(
    'it gets requests with a known key, without a key, and with a long header beside a known key'
)
def step_both_serve(context):
    limits = {'maxHeaderBytes': 400, 'maxBodyBytes': 1, 'headerTimeoutS': 3, 'idleTimeoutS': 9}
    name = 'a customer with a name that is longer than its key'
    spec = manifest_spec(
        customer(name, ACME_KEY),
        {'entryKind': 'limits', 'metadata': {'name': 'l'}, 'spec': limits},
        version=4,
    )

    async def play(fleet):
        fleet.store.put('config', 'main', spec)
        hosts = fleet.hosts.values()
        await fleet.until(lambda: all(host.catalog.manifest.version == 4 for host in hosts))
        paths = fleet.hosts['attiki-0'].delivery.target_registry.paths
        address = fleet.addresses['attiki-0'][0]
        key = {'Authorization': f'Bearer {ACME_KEY}'}
        context.answers = []
        with mock.patch.object(PathMonitor, 'is_lost', lambda self: self is paths):
            # The last one has 390 of the 400 bytes.
            for fields in (key, {}, {**key, 'X-Long': 'x' * 227}):
                headers = {'Host': HOST_NAME, 'X-Request-Id': 'r-1', **fields}
                answer = await fleet.get(address, '/read/1', headers=headers)
                context.answers.append(answer.code)
        context.heads = [head for one in fleet.targets for head in one.upstream.heads]
        context.names = [
            received(one.upstream, number)['x-tenant']
            for one in fleet.targets
            for number, head in enumerate(one.upstream.heads)
            if '/read/1 ' in head
        ]
        context.name = name
        metrics = fleet.hosts['attiki-1'].callers.environment.metrics
        context.handed_over = metrics.counter('requests_of_other_hosts')

    _play(context, play)


@then(
    "the other one serves the former under the customer's name, and the one without a key is rejected"
)
def step_served_together(context):
    assert context.answers == [200, 401, 200], context.answers
    assert context.names == [context.name] * 2, context.names
    assert context.handed_over == 2, context.handed_over
    assert ACME_KEY not in ''.join(context.heads), context.heads


@when("any customer's name is sent between hosts")
def step_any_name(context):
    context.checked = 0

    @for_all(strategies.text(min_size=1, max_size=30))
    def check(name):
        accepted = read_manifest(manifest_spec(customer(name, ACME_KEY))).customers
        if not accepted:
            return
        context.checked += 1
        request = make_request(X_Tenant='other')
        request.hides_credentials = True
        request.customer_name = name
        handover = Handover(origin='b-1', max_attempts=2, customer=name)
        sent = ProxyProtocol().encode_request(request, handover=handover, left_s=1).headers
        lines = ''.join(f'{field}: {value}\r\n' for field, value in sent.get_all())
        fields = HTTPHeaders.parse(lines.encode('latin-1').decode('latin-1'))
        assert decode_handover(fields).customer == name, fields
        assert fields['X-Tenant'].encode('latin-1').decode() == name, fields

    check()


@then('the other host reads the same name in the handover and in the header')
def step_names_checked(context):
    assert context.checked > 20, context.checked


def digest_of_request(delivery, *, is_from_peer=False, **headers):
    request = make_request(is_from_peer=is_from_peer, **headers)
    plan_of(delivery, request)
    return RequestFingerprint(request=request).value


@when('the fingerprints of requests of customers are computed')
def step_customer_fingerprints(context):
    async def play(delivery):
        handover = 'origin=b-1 attempts=2 customer=acme'
        return {
            'same': {
                digest_of_request(delivery, Authorization=f'Bearer {ACME_KEY}'),
                digest_of_request(delivery, Authorization=f'Bearer {ACME_OLD_KEY}'),
                digest_of_request(delivery, Authorization=f'bearer {ACME_KEY}', X_Tenant='x'),
                digest_of_request(
                    delivery, is_from_peer=True, Balsamrail_Handover=handover, X_Tenant='acme'
                ),
            },
            'other': {digest_of_request(delivery, Authorization=f'Bearer {BRIO_KEY}')},
        }

    context.digests = run_host(context, play, spec=manifest_spec(ACME, BRIO))


@then('they are equal for all keys of a customer and at a peer, and differ between customers')
def step_equal(context):
    assert len(context.digests['same']) == 1, context.digests
    assert not context.digests['same'] & context.digests['other'], context.digests


@when('the fingerprints of requests without customers are computed')
def step_anonymous_fingerprints(context):
    async def play(delivery):
        def digests():
            found = []
            for credentials in ({}, {'Authorization': 'Bearer a'}, {'Authorization': 'Bearer b'}):
                request = make_request('/open/x', **credentials)
                plan_of(delivery, request)
                found.append(RequestFingerprint(request=request).value)
            return found

        context.with_customers = digests()
        delivery.catalog.offer_manifest(manifest(version=3))
        context.without_customers = digests()

    run_host(context, play, spec=manifest_spec(ACME))


@then('the header tells callers apart only where targets get it')
def step_told_apart(context):
    texts = ('request', 'lepu.example', 'GET', '/open/x')
    # As hosts of earlier versions compute them.
    expected = [digest_of((*texts, one), body=b'') for one in ('', 'Bearer a', 'Bearer b')]
    assert context.without_customers == expected
    assert context.with_customers == [expected[0]] * 3
