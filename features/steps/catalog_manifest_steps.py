"""Steps of catalog.feature on the manifest of a store that comes back from an older copy."""

import platform_helpers
from behave import given, then, when
from virtual_time import run_virtual

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import Listing, ObjectEvent, StoreObject
from balsamrail.platform.catalog_reader import MANIFESTS, CatalogReader


def _manifest(version, *, era, number, **fields):
    spec = {'version': version, 'resources': [], **fields}
    return StoreObject(name='main', revision=Revision(era=era, number=number), spec=spec)


def _listing(*objects, era, number):
    return Listing(objects=objects, revision=Revision(era=era, number=number))


def _write(view, stored):
    view.apply_events([ObjectEvent(stored=stored, is_removal=False)])


@given('a view of the manifest at version 3')
def step_view(context):
    context.changes = [
        lambda view: view.apply_listing(_listing(_manifest(3, era=1, number=9), era=1, number=9)),
    ]


@when('its store {change}')
def step_change(context, change):
    changes_by_name = {
        'comes back with version 2': lambda view: view.apply_listing(
            _listing(_manifest(2, era=2, number=4), era=2, number=6)
        ),
        'comes back without a manifest': lambda view: view.apply_listing(
            _listing(era=2, number=6)
        ),
        'gets a malformed manifest with version 9': lambda view: _write(
            view, _manifest(9, era=1, number=10, resources=7)
        ),
        'comes back and an old report has version 4': lambda view: (
            view.apply_listing(_listing(_manifest(3, era=2, number=4), era=2, number=6)),
            _write(view, _manifest(4, era=1, number=12)),
        ),
    }
    context.changes.append(changes_by_name[change])


@then('the view has version {version:d}, and version 5 once the operator writes it')
def step_version(context, version):
    async def play():
        environment = platform_helpers.make_environment()
        catalog = Catalog(environment=environment)
        reader = CatalogReader(
            environment=environment, catalog=catalog, store_up_for_s=lambda: 0.0
        )
        view = next(view for view in reader.views if view.kind == MANIFESTS)
        for change in context.changes:
            change(view)
        assert view.objects_by_name['main'].spec['version'] == version, view.objects_by_name
        _write(view, _manifest(5, era=2, number=20))
        assert view.objects_by_name['main'].spec['version'] == 5, view.objects_by_name
        assert catalog.manifest.version == 5, catalog.manifest

    run_virtual(play())
