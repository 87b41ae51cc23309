"""Exchanges quota messages with other hosts, and with the coordinators on this one."""

import asyncio
from collections.abc import Callable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import Message, QuotaAsk, QuotaReply
from balsamrail.quotas.limited_customers import LimitedCustomers
from balsamrail.quotas.quota_coordinator import QuotaCoordinator
from balsamrail.quotas.quota_fleet import QuotaFleet
from balsamrail.quotas.roles import ROLE_COUNT


class QuotaMessenger:
    """Runs the coordinators of this host and delivers replies to ``on_reply``."""

    __slots__ = (
        '_coordinators_by_role',
        '_environment',
        '_fleet',
        '_limited',
        '_network',
        '_sending',
        'on_reply',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        network: Network,
        fleet: QuotaFleet,
        limited: LimitedCustomers,
    ) -> None:
        self._environment = environment
        self._network = network
        self._fleet = fleet
        self._limited = limited
        self._coordinators_by_role: dict[int, QuotaCoordinator] = {}
        # The event loop keeps no references to tasks.
        self._sending: set[asyncio.Task[bool]] = set()
        self.on_reply: Callable[[str, QuotaReply], None] = lambda host, reply: None
        network.subscribe(QuotaAsk, self._on_ask)
        network.subscribe(QuotaReply, self._on_reply)

    def send(self, host: str, ask: QuotaAsk) -> None:
        """Send a message to a coordinator, in the background."""
        if host == self._environment.settings.host:
            reply = self._coordinator(ask.role).answer(host, ask)
            asyncio.get_running_loop().call_soon(self._on_reply, host, reply)
        else:
            self._send(host, ask)

    def forget_customers(self) -> None:
        """Discard what belongs to customers that no longer have a quota."""
        for coordinator in self._coordinators_by_role.values():
            coordinator.forget_customers()

    def dump(self) -> dict[str, Any]:
        """Return the state of the coordinators on this host as plain data."""
        return {
            'coordinators': {
                str(role): coordinator.dump()
                for role, coordinator in sorted(self._coordinators_by_role.items())
            }
        }

    def _on_ask(self, host: str, ask: QuotaAsk) -> None:
        # Without quotas in this host's manifest, the sender may not have the newest one.
        if 0 <= ask.role < ROLE_COUNT:
            self._send(host, self._coordinator(ask.role).answer(host, ask))

    def _on_reply(self, host: str, reply: QuotaReply) -> None:
        if 0 <= reply.role < ROLE_COUNT:
            self.on_reply(host, reply)

    def _coordinator(self, role: int) -> QuotaCoordinator:
        coordinator = self._coordinators_by_role.get(role)
        if coordinator is None:
            coordinator = QuotaCoordinator(
                clock=self._environment.clock,
                terms_by_customer=self._limited.terms_by_customer,
                fleet_size=self._fleet.size,
            )
            self._coordinators_by_role[role] = coordinator
        return coordinator

    def _send(self, host: str, message: Message) -> None:
        task = asyncio.create_task(self._network.send(host, message))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)
