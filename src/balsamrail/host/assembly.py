"""Composition root of a host."""

from typing import Any

from balsamrail.configuration import Declaration
from balsamrail.configuration.record_sync import RecordSync
from balsamrail.configuration.tracker import Tracker
from balsamrail.configuration.trial_evaluator import TrialEvaluator
from balsamrail.environment import Environment
from balsamrail.errors import NotReadyError
from balsamrail.forwarding import Forwarder, ForwardHandler
from balsamrail.forwarding.claim_registry import ClaimRegistry
from balsamrail.host.parts import Parts
from balsamrail.lookup import BlockSync, LookupHandler, LookupTable
from balsamrail.membership import HeartbeatStatus, Members, PeerNetwork
from balsamrail.process.announcer import Announcer
from balsamrail.steering import Router
from balsamrail.store import HttpStore

_MS_IN_S = 1_000


def build_components(*, environment: Environment) -> Parts:
    """Create and wire all components of a host without starting any of them."""
    tracker = Tracker(environment=environment)
    store = HttpStore(environment=environment)
    members = Members(environment=environment, is_ready=False)
    network = PeerNetwork(environment=environment, members=members, store=store)
    common: dict[str, Any] = {
        'environment': environment,
        'tracker': tracker,
        'store': store,
        'network': network,
        'members': members,
    }
    judge = TrialEvaluator(**common)
    router = Router(**common)
    claims = ClaimRegistry(environment=environment, store=store, network=network, members=members)
    common.pop('store')
    forwarder = Forwarder(**common, router=router, judge=judge, claims=claims)
    blocks = BlockSync(environment=environment, store=store)
    _connect(tracker=tracker, members=members, network=network, router=router)
    return Parts(
        store=store,
        tracker=tracker,
        members=members,
        network=network,
        record_sync=RecordSync(**common, store=store),
        router=router,
        forwarder=forwarder,
        judge=judge,
        claims=claims,
        blocks=blocks,
        announcer=Announcer(environment=environment, members=members, store=store),
        caller_rules=_caller_rules(
            environment=environment,
            forwarder=forwarder,
            table=LookupTable(
                environment=environment,
                tracker=tracker,
                members=members,
                router=router,
                blocks=blocks,
            ),
        ),
        hand_over_shares=router.lending.hand_over,
    )


def _caller_rules(
    *, environment: Environment, forwarder: Forwarder, table: LookupTable
) -> list[tuple[Any, ...]]:
    lookup_options = {'environment': environment, 'table': table}
    forward_options = {'environment': environment, 'forwarder': forwarder}
    return [
        ('/lookup/([^/]+)', LookupHandler, lookup_options),
        (ForwardHandler.pattern, ForwardHandler, forward_options),
    ]


def _connect(*, tracker: Tracker, members: Members, network: PeerNetwork, router: Router) -> None:
    network.status = lambda: HeartbeatStatus(
        record_number=tracker.number,
        epoch_by_region=router.epochs.epoch_by_region(),
        spare_by_resource=router.lending.spare_by_resource(),
    )
    tracker.subscribe(lambda: _apply_declaration(tracker, members, network))


def _apply_declaration(tracker: Tracker, members: Members, network: PeerNetwork) -> None:
    """Apply the deadlines and the target addresses of a new declaration."""
    try:
        declaration = tracker.accepted()
    except NotReadyError:
        return
    longest_ms = max(service.deadline_ms for service in declaration.services.values())
    members.extend_grace_period(longest_ms / _MS_IN_S)
    network.is_excluded = _target_addresses(declaration).__contains__


def _target_addresses(declaration: Declaration) -> frozenset[str]:
    return frozenset(
        target.address for service in declaration.services.values() for target in service.targets
    )
