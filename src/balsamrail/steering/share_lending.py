"""Lending and borrowing of shares between hosts."""

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
from balsamrail.steering.loan import loan_amounts
from balsamrail.steering.outbox import Outbox
from balsamrail.steering.share_ledger import ShareLedger

_ROUND_INTERVAL_S = 0.1
_MAX_BACKOFF_S = 2.0
_PEAK_PERIOD_S = 1.0
_LENDERS_PER_ROUND = 2
# A waiting request has time for two or three rounds of one round trip between regions each.
_WAITING_ROUND_INTERVAL_S = 0.04
_MAX_WAITING_REQUESTS = 64
_MAX_COUNTED_REQUESTS = 16
# Each heartbeat reports only a few resources in rotation, so that its size does not grow with the
# declaration.
_RESOURCES_PER_HEARTBEAT = 4


class ShareLending:
    """Requests share that this host lacks from peers, and lends up to half of the spare share.

    Each round sends at most two requests per region, so the cost does not grow with the fleet.

    :param ledger_by_region: the ledgers of this host, shared with the share epochs.
    """

    __slots__ = (
        '_backoff_by_region',
        '_environment',
        '_is_leaving',
        '_ledger_by_region',
        '_members',
        '_network',
        '_next_report_index',
        '_outbox',
        '_random',
        '_share_received',
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
        self._backoff_by_region: dict[tuple[str, bool], tuple[float, float]] = {}
        self._spare_by_host: dict[str, dict[str, int]] = {}
        self._next_report_index = 0
        self._share_received = asyncio.Event()
        self._waiting = 0
        self._is_leaving = False
        self.enabled = True
        network.subscribe(ShareRequest, self._on_request)
        network.subscribe(ShareGiven, self._on_given)
        network.subscribe(Heartbeat, self._on_heartbeat)

    def request(self, region: str, shortage: Mapping[str, int]) -> None:
        """Record that ``shortage`` is missing for one request."""
        known = self._shortage_by_region.setdefault(region, {})
        for resource, amount in shortage.items():
            known[resource] = min(known.get(resource, 0) + amount, amount * _MAX_COUNTED_REQUESTS)

    async def wait(self, limit_s: float) -> bool:
        """Request missing share immediately, and wait until share arrives or a round has passed.

        At most 64 requests wait at the same time; beyond that the result is ``False`` without a
        wait.

        :param limit_s: the maximum wait in seconds.
        """
        if self._waiting >= _MAX_WAITING_REQUESTS or not self.enabled:
            return False
        self._waiting += 1
        self._outbox.wake()
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(limit_s, _WAITING_ROUND_INTERVAL_S)):
                    await self._share_received.wait()
        finally:
            self._waiting -= 1
        return True

    def spare_by_resource(self) -> dict[str, int]:
        """Return the spare share of a few resources in rotation, for the next heartbeat."""
        spare = [
            (resource, ledger.lendable(resource))
            for _, ledger in sorted(self._ledger_by_region.items())
            if not ledger.sealed
            for resource in sorted(ledger.all_held())
            if ledger.lendable(resource) > 0 and not resource.startswith('target/')
        ]
        if not spare:
            return {}
        first = self._next_report_index % len(spare)
        self._next_report_index = first + _RESOURCES_PER_HEARTBEAT
        return dict((spare[first:] + spare[:first])[:_RESOURCES_PER_HEARTBEAT])

    async def run(self) -> None:
        """Send share requests and replies until cancelled."""
        requested_at = rotated_at = -math.inf
        while True:
            await self._outbox.wait(
                _WAITING_ROUND_INTERVAL_S if self._waiting else _ROUND_INTERVAL_S
            )
            await self.send_replies()
            now = self._environment.clock.monotonic()
            if self._waiting or now - requested_at >= _ROUND_INTERVAL_S:
                requested_at = now
                await self.send_requests()
            if now - rotated_at >= _PEAK_PERIOD_S:
                rotated_at = now
                for ledger in self._ledger_by_region.values():
                    ledger.rotate_peaks()

    async def send_replies(self) -> None:
        """Send the queued replies; no host can use the share in them before that."""
        await self._outbox.flush()

    async def send_requests(self) -> None:
        """Request missing share in each region."""
        for region in list(self._shortage_by_region):
            await self._request_for_region(region)

    async def hand_over(self) -> None:
        """Lend all spare share to other members, and stop borrowing.

        Share that is in use is lent on a later call.
        """
        self._is_leaving = True
        for region, ledger in self._ledger_by_region.items():
            spare = {name: ledger.spare(name) for name in ledger.all_held()}
            others = self._other_members()
            if not others or not any(spare.values()):
                continue
            local = [member for member in others if member.region == region]
            borrower = self._random.choice(local or others)
            await self._network.send(
                borrower.host,
                self._message_for_loan(ledger, borrower=borrower.holder, amounts=spare),
            )

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'spare_by_host': self._spare_by_host, 'short': self._shortage_by_region}

    async def _request_for_region(self, region: str) -> None:
        ledger = self._ledger_by_region[region]
        now = self._environment.clock.monotonic()
        is_waiting = self._waiting > 0
        initial_backoff_s = _WAITING_ROUND_INTERVAL_S if is_waiting else _ROUND_INTERVAL_S
        not_before, backoff_s = self._backoff_by_region.get(
            (region, is_waiting), (0, initial_backoff_s)
        )
        if not self.enabled or self._is_leaving or ledger.sealed or not ledger.listed:
            self._shortage_by_region.pop(region)
            return
        if now < not_before:
            return
        shortage = self._shortage_by_region.pop(region)
        # The backoff doubles with each round and is reset when share arrives.
        next_backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)
        self._backoff_by_region[region, is_waiting] = (now + backoff_s, next_backoff_s)
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
        others = {member.host for member in self._other_members()}
        offer_by_host: dict[str, int] = {}
        for peer, spare in self._spare_by_host.items():
            offer = sum(spare.get(name, 0) for name in shortage)
            if offer > 0 and peer in others:
                offer_by_host[peer] = offer
        chosen = nlargest(_LENDERS_PER_ROUND, offer_by_host, key=offer_by_host.__getitem__)
        for lender in chosen:
            for resource in shortage:
                self._spare_by_host[lender].pop(resource, None)
        # Random hosts receive the request only if no host has reported spare share.
        return chosen or self._random.sample(sorted(others), min(_LENDERS_PER_ROUND, len(others)))

    def _other_members(self) -> list[Any]:
        own = self._members.local_member().host
        return [member for member in self._members.alive() if member.host != own]

    def _message_for_loan(
        self, ledger: ShareLedger, *, borrower: str, amounts: Mapping[str, int]
    ) -> ShareGiven:
        return ShareGiven(
            region=ledger.region,
            epoch=ledger.epoch,
            lender=ledger.holder,
            borrower=borrower,
            total_by_resource=ledger.lend(borrower=borrower, amounts=amounts),
        )

    def _on_request(self, host: str, message: ShareRequest) -> None:
        ledger = self._ledger_by_region.get(message.region)
        if ledger is None or ledger.epoch != message.epoch or not self.enabled:
            return
        amounts = loan_amounts(ledger, message.amount_by_resource)
        reply = self._message_for_loan(ledger, borrower=message.borrower, amounts=amounts)
        self._outbox.post(host, reply)

    def _on_given(self, host: str, message: ShareGiven) -> None:
        ledger = self._ledger_by_region.get(message.region)
        if ledger is None or message.borrower != ledger.holder:
            return
        before = ledger.all_held()
        accepted = ledger.receive(
            lender=message.lender, epoch=message.epoch, totals=message.total_by_resource
        )
        if accepted and ledger.all_held() != before:
            self._backoff_by_region.pop((message.region, False), None)
            self._backoff_by_region.pop((message.region, True), None)
            self._share_received.set()
            self._share_received = asyncio.Event()

    def _on_heartbeat(self, host: str, message: Heartbeat) -> None:
        known = self._spare_by_host.setdefault(host, {})
        known.update(message.spare_by_resource)
