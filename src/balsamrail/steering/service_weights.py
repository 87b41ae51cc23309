"""Effective weights of all services on one host."""

import asyncio
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import WeightsGiven, WeightsRequest
from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.routing_plan import RoutingPlan
from balsamrail.steering.weights import Weights

_PPM_PER_UNIT = 1_000_000
_ATTEMPTS = 5
_ATTEMPT_INTERVAL_S = 1.0


class ServiceWeights:
    """Holds one :class:`Weights` for each service and fetches the weights from a peer at startup.

    ``ready`` is false, and no weight changes, until a peer responds or five seconds pass without
    a response.
    """

    __slots__ = (
        '_environment',
        '_failed_by_service',
        '_fetched_by_service',
        '_members',
        '_network',
        '_weights_by_service',
        'ready',
    )

    def __init__(self, *, environment: Environment, members: MemberView, network: Network) -> None:
        self._environment = environment
        self._members = members
        self._network = network
        self._weights_by_service: dict[str, Weights] = {}
        self._failed_by_service: dict[str, set[str]] = {}
        self._fetched_by_service: dict[str, dict[str, float]] = {}
        self.ready = False
        network.subscribe(WeightsRequest, self._on_request)
        network.subscribe(WeightsGiven, self._on_given)

    async def fetch_from_peer(self) -> None:
        """Request the weights from peers in turn; without a response, start as declared."""
        own = self._members.local_member().host
        for attempt in range(_ATTEMPTS):
            if self.ready:
                return
            peers = sorted(member.host for member in self._members.alive() if member.host != own)
            if peers:
                await self._network.send(peers[attempt % len(peers)], WeightsRequest(host=own))
            await asyncio.sleep(_ATTEMPT_INTERVAL_S)
        if not self.ready:
            self._environment.log.event('weights_not_taken_over')
            self.ready = True

    def effective(self, *, plan: RoutingPlan, service: str) -> dict[str, float]:
        """Return the effective weight of each region for a service."""
        weights = self._weights_by_service.get(service)
        if weights is None:
            return plan.declared_weights(service=service)
        return weights.effective

    def step(self, *, plan: RoutingPlan, failed_by_service: dict[str, set[str]]) -> None:
        """Move the weights of all services towards their goals as far as the caps allow."""
        if not self.ready:
            return
        now = self._environment.clock.monotonic()
        services = plan.declaration.services
        for name in self._weights_by_service.keys() - services.keys():
            self._weights_by_service.pop(name)
        for name, service in services.items():
            if name not in self._weights_by_service:
                self._weights_by_service[name] = self._initial_weights(
                    plan=plan, service=name, now=now
                )
            self._weights_by_service[name].step(
                declared=plan.declared_weights(service=name),
                failed=failed_by_service.get(name, set()),
                shift_cap=service.shift_cap,
                failover_cap=service.failover_cap,
                now=now,
            )

    def dump(self) -> dict[str, Any]:
        """Return the weights as plain data."""
        return {name: weights.effective for name, weights in self._weights_by_service.items()}

    def _initial_weights(self, *, plan: RoutingPlan, service: str, now: float) -> Weights:
        fetched = self._fetched_by_service.pop(service, None)
        if fetched and sum(fetched.values()) > 0:
            return Weights(effective=fetched, now=now, is_from_peer=True)
        return Weights(effective=plan.declared_weights(service=service), now=now)

    def _on_request(self, host: str, message: WeightsRequest) -> None:
        if not self.ready or not self._weights_by_service:
            return
        weights_sent = {
            f'{service}/{region}': round(weight * _PPM_PER_UNIT)
            for service, weights in self._weights_by_service.items()
            for region, weight in weights.effective.items()
        }
        asyncio.get_running_loop().create_task(
            self._network.send(message.host, WeightsGiven(ppm_by_place=weights_sent)),
        )

    def _on_given(self, host: str, message: WeightsGiven) -> None:
        if self.ready:
            return
        for key, ppm in message.ppm_by_place.items():
            service, _, region = key.rpartition('/')
            self._fetched_by_service.setdefault(service, {})[region] = max(0, ppm) / _PPM_PER_UNIT
        self.ready = True
