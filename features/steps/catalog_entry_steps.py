"""Steps of catalog.feature on the parsing of manifests and entries."""

import contextlib

import platform_helpers
from behave import then, when
from catalog_values import TARGET
from hypothesis import example
from hypothesis import given as for_all
from hypothesis import strategies as st
from placement_parts import REGION_BY_ZONE, make_manifest, make_route
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.errors import EntryError, StoreError
from balsamrail.platform.manifest_reader import read_manifest
from balsamrail.platform.store_codec import read_events, read_items, read_object
from balsamrail.platform.target_reader import read_target

NAMES = (
    'resources entryKind spec metadata name version host pathPrefix kind state address zone slots '
    'service revision'
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(NAMES.split()), inner, max_size=5)
    ),
    max_leaves=12,
)
ROUTE = {
    'host': 'lepu.example',
    'pathPrefix': '/',
    'kind': 'idempotent',
    'timeoutS': 1,
    'priority': float('inf'),
    'service': 'lepu',
}


@when('manifests are offered in any order')
def step_offer(context):
    pass


@then('the active version only increases and ends at the highest')
def step_grows(context):
    async def offer(versions):
        catalog = Catalog(environment=platform_helpers.make_environment())
        seen = []
        catalog.subscribe(lambda: seen.append(catalog.manifest.version))
        for version in versions:
            catalog.offer_manifest(make_manifest(version=version))
        assert seen == sorted(set(seen)), seen
        assert seen[-1] == max(versions)

    for_all(st.lists(st.integers(1, 9), min_size=1))(
        lambda versions: run_virtual(offer(versions))
    )()


@when('any paths are looked up with any prefixes')
def step_paths(context):
    pass


@then('the route is the one with the longest prefix that matches')
def step_longest(context):
    parts = st.lists(st.sampled_from(['a', 'ab', '%2f', '']), max_size=4)
    prefix = parts.map(lambda found: '/'.join(['', *found, '']))

    @for_all(st.sets(prefix, max_size=6), parts.map('/'.join), st.booleans())
    def check(prefixes, path, has_query):
        path = f'/{path}?a=/b/' if has_query else f'/{path}'
        routes = [make_route(path_prefix=found) for found in prefixes]
        manifest = make_manifest(*routes)
        if not prefixes:
            manifest = make_manifest(make_route(host='other.example'))
        found = manifest.route_for(host='lepu.example', path=path)
        matching = [one for one in prefixes if path.partition('?')[0].startswith(one)]
        expected = max(matching, key=len, default=None)
        assert (found.path_prefix if found else None) == expected, (prefixes, path)

    check()


@when('any JSON is read as a manifest, a target or a stored object')
def step_any_json(context):
    pass


@then('it is accepted or rejected with a declared error')
def step_declared_errors(context):
    @for_all(JSON)
    @example({'resources': ['x'], 'version': 1})
    @example({'resources': [{'entryKind': 'routes', 'spec': ['x']}], 'version': 1})
    @example({'metadata': {'name': 'x', 'revision': float('inf')}})
    @example({'resources': [{'entryKind': 'routes', 'spec': ROUTE}], 'version': 1})
    @example({**TARGET, 'slots': 0, 'warmupLeftS': float('nan')})
    def check(found):
        with contextlib.suppress(EntryError):
            read_manifest(found)
        with contextlib.suppress(EntryError):
            read_target(target_id='i-1', spec=found, region_by_availability_zone=REGION_BY_ZONE)
        with contextlib.suppress(StoreError):
            read_object(found, era=1)
        if isinstance(found, dict):
            with contextlib.suppress(StoreError):
                read_items(found, era=1)
            with contextlib.suppress(StoreError):
                read_events({**found, 'events': found.get('spec'), 'storeRevision': 1}, era=1)

    check()


@when('target entries are read that have one field of the wrong type each')
def step_other_types(context):
    valid_entry = {**TARGET, 'version': 'v1', 'sequence': 4, 'born': 1, 'warmupLeftS': 0.5}
    list_values = {name: [1] for name in valid_entry}
    other_values = {'sequence': 1.5, 'born': '1', 'slots': True, 'version': 1}
    context.accepted_by_change = {
        (name, str(value)): _is_accepted({**valid_entry, name: value})
        for name, value in [*list_values.items(), *other_values.items()]
    }
    context.accepts_valid = _is_accepted(valid_entry)


def _is_accepted(spec):
    try:
        read_target(target_id='i-1', spec=spec, region_by_availability_zone=REGION_BY_ZONE)
    except EntryError:
        return False
    return True


@then('each is rejected with a declared error, and the valid entry is accepted')
def step_refused(context):
    assert context.accepts_valid
    assert not any(context.accepted_by_change.values()), context.accepted_by_change
