"""Messages of this host to the coordinator of one role."""

import math
from collections import OrderedDict
from collections.abc import Callable

from balsamrail.environment import Environment
from balsamrail.messages import QuotaAsk, QuotaReply
from balsamrail.quotas.binding import Binding, Delegation

# A reply counts as missing after three times the usual round trip. With 0.2 s on hosts that take as long
# to answer, 3% of the requests were refused, since tokens were given twice for each of them.
_ROUND_TRIPS_PER_TIMEOUT = 3
_MIN_TIMEOUT_S = 0.15
_MAX_TIMEOUT_S = 0.75
_FIRST_ROUND_TRIP_S = 0.07
_ROUND_TRIP_WEIGHT = 0.2
_WITHDRAWAL_INTERVAL_S = 0.2
_MAX_OPEN_ASKS = 32
# How often requests wait for the reply of a coordinator that did not answer before.
_SILENT_RETRY_S = 0.6


class RoleClient:
    """Has at most one unanswered message, so that wishes that arrive meanwhile share the next one.

    :param send: sends a message to a host, in the background.
    """

    __slots__ = (
        '_asked_at',
        '_environment',
        '_is_leaving_sent_at',
        '_number',
        '_round_trip_s',
        '_send',
        '_sent_by_number',
        'binding',
        'coordinator',
        'is_complete',
        'is_silent',
        'open_number',
        'role',
        'wanting',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        role: int,
        send: Callable[[str, QuotaAsk], None],
    ) -> None:
        self.role = role
        self.binding = Binding(deposit_interval_s=2 * environment.settings.bounds.quota_window_s)
        self.coordinator = ''
        self.is_complete = False
        self.is_silent = False
        # The number of the unanswered message, 0 if there is none.
        self.open_number = 0
        # The customers of which tokens are wanted with the next message.
        self.wanting: set[str] = set()
        self._environment = environment
        self._send = send
        self._number = 0
        self._round_trip_s = _FIRST_ROUND_TRIP_S
        self._is_leaving_sent_at = -math.inf
        self._asked_at = -math.inf
        # When each recent message was sent, and to whom.
        self._sent_by_number: OrderedDict[int, tuple[str, float, bool]] = OrderedDict()

    def set_coordinator(self, host: str) -> None:
        """Send to ``host`` from now on."""
        if host == self.coordinator:
            return
        self.coordinator = host
        self.open_number = 0
        self.is_complete = False
        self.is_silent = False
        self._is_leaving_sent_at = -math.inf

    def timeout_s(self) -> float:
        """Return after how long a reply counts as missing, in seconds."""
        usual_s = _ROUND_TRIPS_PER_TIMEOUT * self._round_trip_s
        return min(_MAX_TIMEOUT_S, max(_MIN_TIMEOUT_S, usual_s))

    def is_worth_asking(self) -> bool:
        """Return whether the coordinator answers, or has not been asked for a while."""
        elapsed_s = self._environment.clock.boottime() - self._asked_at
        return not self.is_silent or elapsed_s >= _SILENT_RETRY_S

    def ask(
        self,
        wanted: dict[str, int],
        urgent: dict[str, int],
        offered: dict[str, int],
        *,
        fleet_size: int,
    ) -> int:
        """Send a message that also renews the delegation; return its number.

        :param urgent: how many of the wanted tokens are for urgent requests.
        """
        now = self._environment.clock.boottime()
        self._asked_at = now
        delegation = self.binding.delegate(self.coordinator, now=now, fleet_size=fleet_size)
        number = self._transmit(
            self.coordinator, delegation, wanted, urgent, offered, fleet_size=fleet_size
        )
        self.open_number = number
        return number

    def withdraw(self, *, can_reach: bool, fleet_size: int) -> None:
        """Withdraw the share from an earlier coordinator that still runs."""
        now = self._environment.clock.boottime()
        if not self.binding.is_bound_elsewhere(self.coordinator, now=now) or not can_reach:
            return
        if now - self._is_leaving_sent_at < _WITHDRAWAL_INTERVAL_S:
            return
        self._is_leaving_sent_at = now
        self._transmit(
            self.binding.host, Delegation(), {}, {}, {}, fleet_size=fleet_size, is_leaving=True
        )

    def note_reply(self, host: str, reply: QuotaReply) -> tuple[float, bool, bool] | None:
        """Record a reply.

        Return when its message was sent, whether it is the awaited one, and whether it is the first
        one of a coordinator; ``None`` if it belongs to no message.
        """
        sent = self._sent_by_number.pop(reply.number, None)
        if sent is None or sent[0] != host:
            return None
        _, sent_at, is_leaving = sent
        if is_leaving:
            self.binding.release(host)
            return sent_at, False, False
        is_awaited = reply.number == self.open_number
        if is_awaited:
            self.open_number = 0
        if host == self.coordinator:
            self.is_silent = False
            self.is_complete = reply.is_complete
        now = self._environment.clock.boottime()
        self._round_trip_s += _ROUND_TRIP_WEIGHT * (now - sent_at - self._round_trip_s)
        is_first = self.binding.note_stamp(
            host, epoch=reply.epoch, stamp_ms=reply.stamp_ms, now=now
        )
        return sent_at, is_awaited, is_first

    def _transmit(
        self,
        host: str,
        delegation: Delegation,
        wanted: dict[str, int],
        urgent: dict[str, int],
        offered: dict[str, int],
        *,
        fleet_size: int,
        is_leaving: bool = False,
    ) -> int:
        self._number += 1
        number = self._number
        now = self._environment.clock.boottime()
        self._sent_by_number[number] = (host, now, is_leaving)
        if len(self._sent_by_number) > _MAX_OPEN_ASKS:
            self._sent_by_number.popitem(last=False)
        self._send(
            host,
            QuotaAsk(
                role=self.role,
                number=number,
                epoch=delegation.epoch,
                stamp_ms=delegation.stamp_ms,
                valid_ms=delegation.valid_ms,
                is_deposit=delegation.is_deposit,
                is_leaving=is_leaving,
                fleet_size=fleet_size,
                wanted_by_customer=wanted,
                urgent_by_customer=urgent,
                offered_by_customer=offered,
            ),
        )
        return number
