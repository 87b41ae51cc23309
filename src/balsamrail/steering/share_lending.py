"""Lending of shares between hosts."""

import asyncio
import contextlib
import math
from collections.abc import Mapping
from heapq import nlargest
from random import Random
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import Heartbeat, ShareGiven, ShareRequest
from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.loan import loan
from balsamrail.steering.outbox import Outbox
from balsamrail.steering.share_ledger import ShareLedger

_ROUND_S = 0.1
_LONGEST_PAUSE_S = 2.0
_PEAK_S = 1.0
_LENDERS = 2
# A request that waits allows two or three rounds, each as long as a round trip between regions.
_WAITING_ROUND_S = 0.04
_MOST_WAITING = 64
_MOST_REQUESTS_COUNTED = 16
# A heartbeat names only a few resources, in turn, so that its size doesn't grow with the
# declaration.
_REPORTED_RESOURCES = 4


class ShareLending:
    """Asks peers for share that is short here, and gives half of the spare to those that ask.

    Each round asks at most two peers for each region, so the cost does not grow with the fleet.

    :param ledger_by_region: the ledgers of this host, shared with the share epochs.
    """

    __slots__ = (
        '_arrived',
        '_environment',
        '_is_leaving',
        '_ledger_by_region',
        '_members',
        '_network',
        '_outbox',
        '_pause_by_place',
        '_random',
        '_report_from',
        '_shortage_by_region',
        '_spare_by_host',
        '_waiting',
        'enabled',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: MemberView,
        network: Network,
        ledger_by_region: dict[str, ShareLedger],
        random: Random,
    ) -> None:
        self._environment = environment
        self._members = members
        self._network = network
        self._ledger_by_region = ledger_by_region
        self._random = random
        self._outbox = Outbox(network=network)
        self._shortage_by_region: dict[str, dict[str, int]] = {}
        self._pause_by_place: dict[tuple[str, bool], tuple[float, float]] = {}
        self._spare_by_host: dict[str, dict[str, int]] = {}
        self._report_from = 0
        self._arrived = asyncio.Event()
        self._waiting = 0
        self._is_leaving = False
        self.enabled = True
        network.subscribe(ShareRequest, self._on_request)
        network.subscribe(ShareGiven, self._on_given)
        network.subscribe(Heartbeat, self._on_heartbeat)

    def request(self, region: str, shortage: Mapping[str, int]) -> None:
        """Note that ``shortage`` is missing for one request."""
        noted = self._shortage_by_region.setdefault(region, {})
        for resource, amount in shortage.items():
            noted[resource] = min(noted.get(resource, 0) + amount, amount * _MOST_REQUESTS_COUNTED)

    async def wait(self, limit_s: float) -> bool:
        """Ask at once for what is short, and wait for share or for the next round to ask in.

        At most 64 requests wait at a time; a further one gets ``False`` at once.

        :param limit_s: the longest wait in seconds.
        """
        if self._waiting >= _MOST_WAITING or not self.enabled:
            return False
        self._waiting += 1
        self._outbox.wake()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(limit_s, _WAITING_ROUND_S)):
                    await self._arrived.wait()
        finally:
            self._waiting -= 1
        return True

    def spare_by_resource(self) -> dict[str, int]:
        """Return spare share for the next heartbeat, a few resources at a time."""
        spare = [
            (resource, ledger.lendable(resource))
            for _, ledger in sorted(self._ledger_by_region.items())
            if not ledger.sealed
            for resource in sorted(ledger.all_held())
            if ledger.lendable(resource) > 0 and not resource.startswith('target/')
        ]
        if not spare:
            return {}
        first = self._report_from % len(spare)
        self._report_from = first + _REPORTED_RESOURCES
        return dict((spare[first:] + spare[:first])[:_REPORTED_RESOURCES])

    async def run(self) -> None:
        """Send requests and replies until cancelled."""
        asked_at = rolled_at = -math.inf
        while True:
            await self._outbox.wait(_WAITING_ROUND_S if self._waiting else _ROUND_S)
            await self.reply()
            now = self._environment.clock.monotonic()
            if self._waiting or now - asked_at >= _ROUND_S:
                asked_at = now
                await self.ask()
            if now - rolled_at >= _PEAK_S:
                rolled_at = now
                for ledger in self._ledger_by_region.values():
                    ledger.roll()

    async def reply(self) -> None:
        """Send the replies that wait. What they carry is of no use to anybody until then."""
        await self._outbox.flush()

    async def ask(self) -> None:
        """Ask for what is short in each region."""
        for region in list(self._shortage_by_region):
            await self._ask(region)

    async def hand_over(self) -> None:
        """Give all spare share to members that stay, and borrow no more.

        What is in use is given on a later call.
        """
        self._is_leaving = True
        for region, ledger in self._ledger_by_region.items():
            spare = {name: ledger.spare(name) for name in ledger.all_held()}
            others = self._others()
            if not others or not any(spare.values()):
                continue
            local = [member for member in others if member.region == region]
            borrower = self._random.choice(local or others)
            await self._network.send(
                borrower.host, self._given(ledger, borrower=borrower.holder, amounts=spare)
            )

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'spare_by_host': self._spare_by_host, 'short': self._shortage_by_region}

    async def _ask(self, region: str) -> None:
        ledger = self._ledger_by_region[region]
        now = self._environment.clock.monotonic()
        is_waiting = self._waiting > 0
        first_s = _WAITING_ROUND_S if is_waiting else _ROUND_S
        not_before, pause_s = self._pause_by_place.get((region, is_waiting), (0, first_s))
        if not self.enabled or self._is_leaving or ledger.sealed or not ledger.listed:
            self._shortage_by_region.pop(region)
            return
        if now < not_before:
            return
        shortage = self._shortage_by_region.pop(region)
        # The pause grows with each round and is reset when share arrives.
        next_s = min(_LONGEST_PAUSE_S, 2 * pause_s)
        self._pause_by_place[region, is_waiting] = (now + pause_s, next_s)
        for host in self._lenders(shortage):
            self._environment.metrics.count('share_requests')
            await self._network.send(
                host,
                ShareRequest(
                    region=region,
                    epoch=ledger.epoch,
                    borrower=ledger.holder,
                    amount_by_resource=shortage,
                ),
            )

    def _lenders(self, shortage: Mapping[str, int]) -> list[str]:
        others = {member.host for member in self._others()}
        offer_by_host: dict[str, int] = {}
        for peer, spare in self._spare_by_host.items():
            offer = sum(spare.get(name, 0) for name in shortage)
            if offer > 0 and peer in others:
                offer_by_host[peer] = offer
        chosen = nlargest(_LENDERS, offer_by_host, key=offer_by_host.__getitem__)
        for lender in chosen:
            for resource in shortage:
                self._spare_by_host[lender].pop(resource, None)
        # Hosts that have not reported anything are asked only if no other has a share to spare.
        return chosen or self._random.sample(sorted(others), min(_LENDERS, len(others)))

    def _others(self) -> list[Any]:
        own = self._members.own().host
        return [member for member in self._members.alive() if member.host != own]

    def _given(
        self, ledger: ShareLedger, *, borrower: str, amounts: Mapping[str, int]
    ) -> ShareGiven:
        return ShareGiven(
            region=ledger.region,
            epoch=ledger.epoch,
            lender=ledger.holder,
            borrower=borrower,
            total_by_resource=ledger.give(borrower=borrower, amounts=amounts),
        )

    def _on_request(self, host: str, message: ShareRequest) -> None:
        ledger = self._ledger_by_region.get(message.region)
        if ledger is None or ledger.epoch != message.epoch or not self.enabled:
            return
        amounts = loan(ledger, message.amount_by_resource)
        given = self._given(ledger, borrower=message.borrower, amounts=amounts)
        self._outbox.post(host, given)

    def _on_given(self, host: str, message: ShareGiven) -> None:
        ledger = self._ledger_by_region.get(message.region)
        if ledger is None or message.borrower != ledger.holder:
            return
        before = ledger.all_held()
        accepted = ledger.receive(
            lender=message.lender, epoch=message.epoch, totals=message.total_by_resource
        )
        if accepted and ledger.all_held() != before:
            self._pause_by_place.pop((message.region, False), None)
            self._pause_by_place.pop((message.region, True), None)
            self._arrived.set()
            self._arrived = asyncio.Event()

    def _on_heartbeat(self, host: str, message: Heartbeat) -> None:
        noted = self._spare_by_host.setdefault(host, {})
        noted.update(message.spare_by_resource)
