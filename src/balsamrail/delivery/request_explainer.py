"""Explains where a request would go now, without sending it."""

from typing import Any

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.customer import Customer
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.entry_request import EntryRequest
from balsamrail.delivery.manifest_freshness import ManifestFreshness
from balsamrail.delivery.placement_key import PlacementKey
from balsamrail.environment import Environment
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.selection_preview import SelectionPreview
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.placement.target_state import TargetState


class RequestExplainer:
    """Makes the decisions on a request with the code that serves requests.

    No budget, quota, counter or limit changes, so that an operator may ask a host that is overloaded::

        explainer.explain(host='jepu9.example', path='/lepu270/2f', object_key='17')

    :param freshness: tells whether API keys of the manifest in force can be relied on.
    """

    __slots__ = ('_catalog', '_environment', '_freshness', '_target_registry', '_target_selector')

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        target_registry: TargetRegistry,
        target_selector: TargetSelector,
        freshness: ManifestFreshness,
    ) -> None:
        self._environment = environment
        self._catalog = catalog
        self._target_registry = target_registry
        self._target_selector = target_selector
        self._freshness = freshness

    def explain(
        self, *, host: str, path: str, object_key: str = '', customer_name: str = ''
    ) -> dict[str, Any]:
        """Return the decisions on a request as plain data.

        :param object_key: the affinity key, empty if the request has none.
        :param customer_name: the customer whose key the request carries, empty if it has none. Keys
            are not accepted here, since they would appear in the logs of whatever is in between.
        """
        manifest = self._catalog.manifest
        if manifest is None:
            return {'rejected': 'not_ready'}
        found: dict[str, Any] = {'manifest_version': manifest.version}
        route = manifest.route_for(host=host.lower(), path=path)
        if route is None:
            return {**found, 'rejected': 'unknown_route'}
        customer = manifest.customer_by_name(customer_name) if customer_name else None
        found['rejected'] = self._rejection(manifest, route, customer)
        effective = manifest.effective_route(route, customer)
        request = EntryRequest(
            request_id='explain',
            method='GET',
            host=host,
            path=path,
            headers=HTTPHeaders(),
            object_key=object_key or None,
            arrived_at=self._environment.clock.monotonic(),
            caller_timeout_s=None,
        )
        return {
            **found,
            'route': _route_facts(effective),
            'customer': None if customer is None else customer.name,
            'reaches_targets': not self._target_registry.paths.is_lost(),
            'services': [
                {
                    'service': part.service,
                    'weight': part.weight,
                    **self._selection(
                        PlacementKey.of(effective, part.service, request), effective
                    ),
                }
                for part in effective.parts
            ],
        }

    def _rejection(
        self, manifest: Manifest, route: ManifestRoute, customer: Customer | None
    ) -> str | None:
        """Return the code with which the request would be rejected before a target is chosen."""
        if not manifest.has_customers or (customer is None and route.is_anonymous):
            return None
        if not self._freshness.is_confirmed():
            return 'manifest_unconfirmed'
        return 'unknown_key' if customer is None else None

    def _selection(self, key: PlacementKey, route: ManifestRoute) -> dict[str, Any]:
        now = self._environment.clock.monotonic()
        preview = self._target_selector.preview(
            route, service=key.service, object_key=key.object_key, now=now
        )
        return {
            **_outcome(preview),
            'candidates': [
                _target_facts(state, preview, object_key=key.object_key, now=now)
                for state in preview.candidates
            ],
        }


def _route_facts(route: ManifestRoute) -> dict[str, Any]:
    return {
        'name': route.name,
        'is_idempotent': route.is_idempotent,
        'is_sticky': route.is_sticky,
        'priority': route.priority,
        'aim_s': route.aim_s,
        'timeout_s': route.timeout_s,
        'allowed_regions': sorted(route.allowed_regions),
    }


def _outcome(preview: SelectionPreview) -> dict[str, Any]:
    match preview.choice:
        case Rejection(reason=reason, retry_after_s=retry_after_s):
            return {'target': None, 'rejected': reason, 'retry_after_s': retry_after_s}
        case TargetState(entry=entry):
            return {'target': entry.target_id}


def _target_facts(
    state: TargetState, preview: SelectionPreview, *, object_key: str, now: float
) -> dict[str, Any]:
    inputs = state.inputs(object_key, now=now)
    reason = preview.passed_over.reason_of(state.entry.target_id)
    return {
        'target': state.entry.target_id,
        'availability_zone': state.entry.availability_zone,
        'region': inputs.region,
        'ruled_out': None if reason is None else reason.value,
        'fill': round(inputs.fill, 2),
        'report_age_s': None if inputs.report_age_s is None else round(inputs.report_age_s, 3),
        'is_known': inputs.is_known,
        'is_bad': inputs.is_bad,
        'slowdown': round(inputs.slowdown, 2),
    }
