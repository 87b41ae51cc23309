"""Suspension of shares that other hosts may have reclaimed."""

import math
from collections.abc import Callable
from random import Random
from typing import Any

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import HeartbeatAck, ShareEpochAnswer, ShareEpochQuery
from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.outbox import Outbox
from balsamrail.steering.share_ledger import ShareLedger

_CHECK_INTERVAL_S = 0.5
# The share of a holder is reclaimed no earlier than one grace period after its last sign of life.
# A pause of just under half the period, which is not detected, followed by half the period without
# contact still ends before that.
_GRACE_FRACTION = 0.5
# Other hosts must learn that this host is back before it reads the epoch. Otherwise a coordinator
# that considers it gone could reclaim its share right after the read.
_RETURN_DELAY_S = 5.0
_MIN_CONFIRMED_PEERS = 3
_PEERS_PER_QUERY = 8
_QUERY_ID_BITS = 32
_MAX_FORMER_HOLDERS = 100


class ShareFence:
    """Suspends the shares of a host that was paused or isolated, until they are confirmed.

    A region is confirmed by a read of ``shares/<region>`` that began after the return delay and
    finds no seal in progress. While the store is down it is confirmed by peers that know no higher
    epoch: three whose own shares are confirmed (all peers, if there are fewer) or a majority of
    all peers.

    :param ledger_by_region: the ledgers of this host.
    :param known_epochs: returns the highest epoch of each region that this host has learned of.
    :param enabled: whether shares are ever suspended; tests disable it to show that the check is
        effective.
    """

    __slots__ = (
        '_checked_at',
        '_contact_at',
        '_environment',
        '_is_store_down',
        '_known_epochs',
        '_known_holders',
        '_ledger_by_region',
        '_members',
        '_outbox',
        '_query_id',
        '_random',
        '_reply_by_host',
        '_suspended_at',
        '_unconfirmed',
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
        known_epochs: Callable[[], dict[str, int]],
        enabled: bool = True,
    ) -> None:
        now = environment.clock.monotonic()
        self._environment = environment
        self._members = members
        self._ledger_by_region = ledger_by_region
        self._random = random
        self._known_epochs = known_epochs
        self._outbox = Outbox(network=network)
        self._checked_at = now
        self._contact_at = now
        self._suspended_at = now
        self._is_store_down = False
        self._query_id = 0
        self._unconfirmed: set[str] = set()
        self._known_holders: set[str] = set()
        self._reply_by_host: dict[str, ShareEpochAnswer] = {}
        self.enabled = enabled
        network.subscribe(HeartbeatAck, self._on_ack)
        network.subscribe(ShareEpochQuery, self._on_query)
        network.subscribe(ShareEpochAnswer, self._on_answer)

    def is_region_suspended(self, region: str) -> bool:
        """Return whether the share of a region is suspended."""
        self.check()
        return region in self._unconfirmed

    def is_suspended(self) -> bool:
        """Return whether the share of any region is suspended."""
        return bool(self._unconfirmed)

    def needs_read(self, region: str) -> bool:
        """Return whether a read of the region's epoch could end the suspension."""
        self.check()
        return region in self._unconfirmed and (
            self._is_isolated() or self._is_return_delay_over()
        )

    def record_read(self, region: str, *, since: float, is_sealing: bool) -> None:
        """Record a successful read of the region's epoch, which has been adopted.

        :param since: the monotonic time at which the read began.
        """
        self.check()
        is_late_enough = since >= self._suspended_at + _RETURN_DELAY_S
        self._contact_at = self._environment.clock.monotonic()
        self._is_store_down = False
        if is_late_enough and not is_sealing:
            self._confirm({region})

    def record_store_failure(self) -> None:
        """Record a failed call of the store."""
        self._is_store_down = True

    async def run(self) -> None:
        """Detect pauses, answer the queries of peers and query peers until cancelled."""
        queried_at = -math.inf
        while True:
            self.check()
            self._update_members()
            now = self._environment.clock.monotonic()
            if (
                now - queried_at >= _CHECK_INTERVAL_S
                and self._is_store_down
                and self._is_return_delay_over()
            ):
                queried_at = now
                self._query_peers()
            await self._outbox.flush()
            await self._outbox.wait(_CHECK_INTERVAL_S)

    def check(self) -> None:
        """Suspend all shares after a pause or isolation of half the grace period."""
        now = self._environment.clock.monotonic()
        is_paused = now - self._checked_at > self._max_silence_s()
        self._checked_at = now
        if self.enabled and (is_paused or self._is_isolated()):
            self._suspend(reason='pause' if is_paused else 'isolation')

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {'unconfirmed': sorted(self._unconfirmed), 'answers': len(self._reply_by_host)}

    def _max_silence_s(self) -> float:
        return self._members.grace_period_s * _GRACE_FRACTION

    def _is_isolated(self) -> bool:
        silent_s = self._environment.clock.monotonic() - self._contact_at
        return silent_s > self._max_silence_s() and not self._is_only_holder()

    def _is_only_holder(self) -> bool:
        """Return whether no other host can reclaim shares.

        Members that are only unreachable count as present, for any length of time.
        """
        self._update_members()
        self._remove_gone_holders()
        return not self._known_holders

    def _remove_gone_holders(self) -> None:
        self._known_holders = {
            holder for holder in self._known_holders if not self._members.is_proven_gone(holder)
        }

    def _is_return_delay_over(self) -> bool:
        return self._environment.clock.monotonic() >= self._suspended_at + _RETURN_DELAY_S

    def _update_members(self) -> list[str]:
        """Record the holders that are alive now and return the names of the other hosts."""
        own = self._environment.holder
        others = [member for member in self._members.alive() if member.holder != own]
        self._known_holders.update(member.holder for member in others)
        if len(self._known_holders) > 2 * len(others) + _MAX_FORMER_HOLDERS:
            self._remove_gone_holders()
        return [member.host for member in others]

    def _suspend(self, *, reason: str) -> None:
        if not self._unconfirmed:
            self._environment.metrics.count('shares_suspended')
            self._environment.log.event('shares_suspended', reason=reason)
        self._suspended_at = self._environment.clock.monotonic()
        self._is_store_down = False
        self._query_id = self._random.getrandbits(_QUERY_ID_BITS)
        self._reply_by_host.clear()
        self._unconfirmed.update(self._ledger_by_region)

    def _confirm(self, regions: set[str]) -> None:
        if self._unconfirmed & regions:
            self._unconfirmed -= regions
            if not self._unconfirmed:
                self._environment.log.event('shares_confirmed')

    def _query_peers(self) -> None:
        if not self._unconfirmed:
            return
        others = [host for host in self._update_members() if host not in self._reply_by_host]
        if self._is_only_holder():
            self._confirm(set(self._unconfirmed))
        for host in self._random.sample(others, min(_PEERS_PER_QUERY, len(others))):
            self._outbox.post(host, ShareEpochQuery(mark=self._query_id))

    def _on_ack(self, host: str, message: HeartbeatAck) -> None:
        # A pause must be detected first, so that a reply that arrived during it does not count.
        self.check()
        self._contact_at = self._environment.clock.monotonic()

    def _on_query(self, host: str, message: ShareEpochQuery) -> None:
        self.check()
        reply = ShareEpochAnswer(
            mark=message.mark,
            is_confirmed=not self._unconfirmed,
            epoch_by_region=self._known_epochs(),
        )
        self._outbox.post(host, reply)

    def _on_answer(self, host: str, message: ShareEpochAnswer) -> None:
        self.check()
        if message.mark != self._query_id or not self._unconfirmed:
            return
        self._contact_at = self._environment.clock.monotonic()
        self._reply_by_host[host] = message
        replies = self._reply_by_host.values()
        others = len(self._update_members())
        confirmed = sum(reply.is_confirmed for reply in replies)
        if confirmed >= min(_MIN_CONFIRMED_PEERS, others) or 2 * len(replies) > others:
            self._confirm({name for name in self._unconfirmed if not self._is_behind(name)})

    def _is_behind(self, region: str) -> bool:
        epoch = self._ledger_by_region[region].epoch
        reported = [reply.epoch_by_region for reply in self._reply_by_host.values()]
        return any(known.get(region, 0) > epoch for known in (self._known_epochs(), *reported))
