"""Steps of customers.feature about the manifest."""

import json
from unittest import mock

import msgpack
from behave import given, then, when
from customer_parts import (
    ACME,
    ACME_KEY,
    BRIO_KEY,
    customer,
    make_request,
    manifest_spec,
    outcome_of,
    received,
)
from customers_steps import KEYS, StoredManifests, lines_of, run_host
from hypothesis import given as for_all
from hypothesis import strategies

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import StoreObject
from balsamrail.errors import EntryError, PeerError
from balsamrail.fleet.object_codec import pack_objects, unpack_objects
from balsamrail.platform.manifest_reader import read_manifest

SECRET = 'k-secret-5511'
WRONG = customer('wrong', SECRET)


def wrong(**spec):
    return customer('wrong', SECRET, **spec)


FAULTY_ENTRIES = {
    'a text instead of its keys': wrong(apiKeys=SECRET),
    'a number among its keys': wrong(apiKeys=[SECRET, 5511]),
    'a key with a lone surrogate': wrong(apiKeys=[f'{SECRET}\ud800']),
    'a priority that is a key': wrong(priority=SECRET),
    'a negative priority': wrong(priority=-1),
    'a rate that is a key': wrong(ratePerS=SECRET),
    'a negative burst': wrong(burst=-5511),
    'a text instead of its regions': wrong(allowedRegions=SECRET),
    'a list as its spec': {**WRONG, 'spec': [SECRET]},
    'no spec': {'entryKind': 'tenants', 'metadata': {'name': 'wrong'}},
    'no name': {**WRONG, 'metadata': {}},
    'an object as its name': {**WRONG, 'metadata': {'name': {SECRET: SECRET}}},
    'a line break in its name': {**WRONG, 'metadata': {'name': f'wrong\r\nX: {SECRET}'}},
    'a blank name': {**WRONG, 'metadata': {'name': ' '}},
    'the name of an earlier one': {**WRONG, 'metadata': {'name': 'acme'}},
    'metadata that are a key': {**WRONG, 'metadata': SECRET},
}


@given('a manifest with customers on different terms')
def step_terms(context):
    context.spec = manifest_spec(
        customer(
            'acme',
            ACME_KEY,
            priority=0,
            ratePerS=12.5,
            burst=20,
            allowedRegions=['attiki', 'kriti'],
        ),
        {
            'entryKind': 'tenants',
            'metadata': {'name': 'brio'},
            'spec': {'apiKeys': [BRIO_KEY, '']},
        },
        {'entryKind': 'tenants', 'metadata': {'name': 'cape'}, 'spec': {}},
    )


@when('it is read')
def step_read(context):
    context.manifest = read_manifest(json.loads(json.dumps(context.spec)))


@then('each customer has its own keys, priority, quota and regions')
def step_own_terms(context):
    acme, brio, cape = context.manifest.customers
    assert acme.api_keys == {ACME_KEY} and acme.allowed_regions == {'attiki', 'kriti'}, acme
    assert (acme.priority, acme.rate_per_s, acme.burst) == (0, 12.5, 20), acme
    assert (brio.priority, brio.rate_per_s, brio.burst) == (None, 0, 0), brio
    assert brio.api_keys == {BRIO_KEY} and not brio.allowed_regions and not brio.is_limited
    assert cape.name == 'cape' and not cape.api_keys, cape
    found = context.manifest
    assert found.has_customers
    assert found.customer_by_key(ACME_KEY) is found.customer_by_name('acme') is acme
    assert found.customer_by_key('') is None
    assert ACME_KEY not in repr(found)
    anonymous = {route.path_prefix for route in found.routes if route.is_anonymous}
    assert anonymous == {'/open/'}, anonymous


@given('a host with a manifest in which one customer has {fault}')
def step_faulty(context, fault):
    context.spec = manifest_spec(ACME, FAULTY_ENTRIES[fault])


@when('the other customer sends a request')
def step_other_sends(context):
    async def play(delivery):
        return await outcome_of(delivery, make_request(**KEYS['a known key']))

    context.outcome = run_host(context, play, spec=context.spec)


@then('it is served, and the log names the faulty entry "{name}" without its values')
@then('it is served, and the log names the faulty entry "" without its values')
def step_left_out(context, name=''):
    assert context.outcome.status == 200, context.outcome
    assert received(context.delivery.targets[0])['x-tenant'] == 'acme'
    (line,) = lines_of(context.delivery, 'customer_rejected')
    assert f'customer={name}' in line.replace('"', ''), line
    assert SECRET not in line and '5511' not in line, line
    assert SECRET not in ''.join(context.delivery.log.lines)
    assert not lines_of(context.delivery, 'manifest_rejected')


@given('a host with a manifest in which the only customer is unreadable')
def step_only_faulty(context):
    context.spec = manifest_spec(wrong(apiKeys=SECRET))


@when('a request without a key arrives')
def step_keyless(context):
    async def play(delivery):
        return await outcome_of(delivery, make_request())

    context.outcome = run_host(context, play, spec=context.spec)


@then('it is answered 401 with the code "{code}"')
def step_refused(context, code):
    assert (context.outcome.status, context.outcome.code) == (401, code), context.outcome
    assert not context.delivery.targets[0].heads


@given('a host with a manifest in which two customers list the same key')
def step_shared(context):
    context.spec = manifest_spec(
        customer('first', ACME_KEY, SECRET), customer('second', SECRET, ACME_KEY, BRIO_KEY)
    )


@when('a request with that key arrives')
def step_send_shared(context):
    async def play(delivery):
        return await outcome_of(delivery, make_request(**KEYS['a known key']))

    context.outcome = run_host(context, play, spec=context.spec)


@then('it is served as the first one, and the log names both')
def step_first(context):
    assert context.outcome.status == 200, context.outcome
    assert received(context.delivery.targets[0])['x-tenant'] == 'first'
    (line,) = lines_of(context.delivery, 'customer_key_shared')
    assert 'customer=first other=second' in line, line
    assert SECRET not in line and ACME_KEY not in line, line


@given('a host whose manifest changes, and then becomes unreadable')
def step_changes(context):
    specs = [
        manifest_spec(ACME),
        manifest_spec(ACME, version=3),
        manifest_spec(ACME, version=SECRET),
    ]
    context.parsed = []

    def read(spec):
        context.parsed.append(spec['version'])
        return read_manifest(spec)

    async def play(delivery):
        stored = StoredManifests(delivery)
        for spec in specs:
            stored.put(spec)
        return delivery.catalog.manifest.version

    with mock.patch('balsamrail.platform.parsed_manifests.read_manifest', read):
        context.version = run_host(context, play)


@then('each of the manifests has been parsed once, and the last readable one is in force')
def step_parsed_once(context):
    assert context.parsed == [2, 3, SECRET], context.parsed
    assert context.version == 3, context.version
    (line,) = lines_of(context.delivery, 'manifest_rejected')
    assert SECRET not in line, line


@when('a host gets a manifest with a key in malformed updates of a peer')
def step_malformed_updates(context):
    # Too short to be compressed.
    stored = StoreObject(
        name='main', revision=Revision(era=1, number=2), spec=customer('a', SECRET)
    )
    (packed,) = pack_objects([stored])
    assert SECRET.encode() in packed
    secret = SECRET.encode()
    context.errors = []
    for part in (
        packed + b'x',
        packed[:-3],
        packed.replace(secret, b'\xff' + secret[1:]),
        packed.replace(b'main', b'\xff' + secret[:3]),
        msgpack.packb([SECRET]),
        msgpack.packb(SECRET),
    ):
        try:
            unpack_objects([part])
        except PeerError as error:
            context.errors.append(error)


@then('each error is that of a peer and does not contain the key')
def step_update_errors(context):
    assert len(context.errors) == 6, context.errors
    for error in context.errors:
        assert SECRET[1:] not in str(error) + repr(error), error


PLACES = strategies.recursive(
    strategies.sampled_from([SECRET, f'{SECRET}\ud800', 1, None, True, 0.5]),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(
            strategies.sampled_from(
                [SECRET, 'name', 'apiKeys', 'host', 'pathPrefix', 'kind', 'service', 'timeoutS']
            ),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=6,
)
KINDS = strategies.sampled_from(['routes', 'services', 'limits', 'tenants', SECRET, None])


@when('any manifest with a key in an odd place is read')
def step_odd_places(context):
    context.errors = []

    def read(spec):
        try:
            read_manifest(spec)
        except EntryError as error:
            context.errors.append(error)

    @for_all(KINDS, PLACES, PLACES)
    def check(kind, metadata, spec):
        entry = {'entryKind': kind, 'metadata': metadata, 'spec': spec}
        sound = manifest_spec(ACME)
        read({**sound, 'resources': [*sound['resources'], entry]})

    @for_all(PLACES)
    def check_top(found):
        sound = manifest_spec(ACME)
        for odd in (
            found,
            {**sound, 'version': found},
            {**sound, 'resources': found},
            {**sound, 'resources': [found]},
        ):
            read(odd)

    for prefix in ('host', 'pathPrefix', 'timeoutS', 'aimS', 'priority', 'weightedServices'):
        for found in (SECRET, [SECRET], {SECRET: SECRET}, f'{SECRET}\ud800'):
            read(manifest_spec(ACME, routes={'/read/': {prefix: found}}))
    check()
    check_top()


@then('the error, if there is one, does not contain the key')
def step_no_secret(context):
    assert len(context.errors) > 50, len(context.errors)
    for error in context.errors:
        assert SECRET not in str(error) + repr(error), error
        assert error.__suppress_context__ and error.__cause__ is None, error
