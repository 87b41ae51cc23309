"""The effective weights of all services on one host."""

import asyncio
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import WeightsGiven, WeightsRequest
from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.plan import Plan
from balsamrail.steering.weights import Weights

_PPM = 1_000_000
_ATTEMPTS = 5
_ATTEMPT_S = 1.0


class ServiceWeights:
    """Holds one :class:`Weights` for each service and takes them over from a peer at start.

    Until a peer answered, or none did for five seconds, ``ready`` is false and no weight moves.
    """

    __slots__ = (
        '_environment',
        '_failed_by_service',
        '_members',
        '_network',
        '_taken_over',
        '_weights_by_service',
        'ready',
    )

    def __init__(self, *, environment: Environment, members: MemberView, network: Network) -> None:
        self._environment = environment
        self._members = members
        self._network = network
        self._weights_by_service: dict[str, Weights] = {}
        self._failed_by_service: dict[str, set[str]] = {}
        self._taken_over: dict[str, dict[str, float]] = {}
        self.ready = False
        network.subscribe(WeightsRequest, self._on_request)
        network.subscribe(WeightsGiven, self._on_given)

    async def take_over(self) -> None:
        """Ask peers in turn for their weights; a host with no peers starts as declared."""
        own = self._members.own().host
        for attempt in range(_ATTEMPTS):
            if self.ready:
                return
            peers = sorted(member.host for member in self._members.alive() if member.host != own)
            if peers:
                await self._network.send(peers[attempt % len(peers)], WeightsRequest(host=own))
            await asyncio.sleep(_ATTEMPT_S)
        if not self.ready:
            self._environment.log.event('weights_not_taken_over')
            self.ready = True

    def effective(self, *, plan: Plan, service: str) -> dict[str, float]:
        """Return the weights of a service over regions that have targets."""
        weights = self._weights_by_service.get(service)
        if weights is None:
            return plan.declared_weights(service=service)
        return weights.effective

    def step(self, *, plan: Plan, failed_by_service: dict[str, set[str]]) -> None:
        """Move the weights of all services as far as their caps allow."""
        if not self.ready:
            return
        now = self._environment.clock.monotonic()
        services = plan.declaration.services
        for name in self._weights_by_service.keys() - services.keys():
            self._weights_by_service.pop(name)
        for name, service in services.items():
            if name not in self._weights_by_service:
                self._weights_by_service[name] = self._first(plan=plan, service=name, now=now)
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

    def _first(self, *, plan: Plan, service: str, now: float) -> Weights:
        taken = self._taken_over.pop(service, None)
        if taken and sum(taken.values()) > 0:
            return Weights(effective=taken, now=now, taken_over=True)
        return Weights(effective=plan.declared_weights(service=service), now=now)

    def _on_request(self, host: str, message: WeightsRequest) -> None:
        if not self.ready or not self._weights_by_service:
            return
        given = {
            f'{service}/{region}': round(weight * _PPM)
            for service, weights in self._weights_by_service.items()
            for region, weight in weights.effective.items()
        }
        asyncio.get_running_loop().create_task(
            self._network.send(message.host, WeightsGiven(ppm_by_place=given)),
        )

    def _on_given(self, host: str, message: WeightsGiven) -> None:
        if self.ready:
            return
        for place, ppm in message.ppm_by_place.items():
            service, _, region = place.rpartition('/')
            self._taken_over.setdefault(service, {})[region] = max(0, ppm) / _PPM
        self.ready = True
