"""To which coordinator this host has delegated its share."""

import math
from dataclasses import dataclass

# Longer than the time in which a coordinator notices that a share has lapsed.
_CLOCK_MARGIN_S = 0.1
_MIN_VALID_S = 2.5
# Keeps the messages that renew delegations to 16 a second for each coordinator.
_HOSTS_PER_VALID_S = 40
# Leaves time for a second attempt if a message is lost.
_RENEWALS_PER_VALIDITY = 2.5
_MS_IN_S = 1_000


@dataclass(slots=True, kw_only=True, frozen=True)
class Delegation:
    """The fields of a message that concern the sender's share."""

    epoch: int = 0
    stamp_ms: int = 0
    valid_ms: int = 0
    is_deposit: bool = False


class Binding:
    """Delegates this host's share to one coordinator at a time.

    The share is delegated to another host only when it has lapsed at the one before, which counts
    from a stamp on its own clock. This host counts from the moment when it received that stamp,
    which is later, so that both need no common clock.

    :param deposit_interval_s: the least time between two deposits.
    """

    __slots__ = (
        '_deposit_interval_s',
        '_deposited_at',
        '_epoch',
        '_has_delegated',
        '_stamp_ms',
        '_stamped_at',
        'bound_until',
        'host',
        'renewed_at',
    )

    def __init__(self, *, deposit_interval_s: float) -> None:
        self.host = ''
        self.bound_until = -math.inf
        self.renewed_at = -math.inf
        self._deposit_interval_s = deposit_interval_s
        self._deposited_at = -math.inf
        self._epoch = 0
        self._has_delegated = False
        self._stamp_ms = 0
        self._stamped_at = -math.inf

    def is_bound_elsewhere(self, host: str, *, now: float) -> bool:
        """Return whether the share is still delegated to another host than ``host``."""
        return self.host != host and now < self.bound_until

    def is_due(self, *, now: float, fleet_size: int) -> bool:
        """Return whether the delegation has to be renewed."""
        return now - self.renewed_at >= validity_s(fleet_size) / _RENEWALS_PER_VALIDITY

    def delegate(self, host: str, *, now: float, fleet_size: int) -> Delegation:
        """Return what the next message to ``host`` says about the share."""
        if self.is_bound_elsewhere(host, now=now):
            return Delegation()
        if self.host != host:
            self.host = host
            self._epoch = 0
        self.renewed_at = now
        if not self._epoch:
            return Delegation()
        valid_s = validity_s(fleet_size)
        is_deposit = not self._has_delegated and self._may_deposit(now)
        self._has_delegated = True
        if is_deposit:
            self._deposited_at = now
        self.bound_until = max(self.bound_until, self._stamped_at + valid_s + _CLOCK_MARGIN_S)
        return Delegation(
            epoch=self._epoch,
            stamp_ms=self._stamp_ms,
            valid_ms=int(valid_s * _MS_IN_S),
            is_deposit=is_deposit,
        )

    def note_stamp(self, host: str, *, epoch: int, stamp_ms: int, now: float) -> bool:
        """Record a stamp; return whether it is the first one of this coordinator."""
        if host != self.host:
            return False
        is_first = epoch != self._epoch
        if is_first:
            self._has_delegated = False
        if is_first or stamp_ms > self._stamp_ms:
            self._epoch = epoch
            self._stamp_ms = stamp_ms
            self._stamped_at = now
        return is_first

    def release(self, host: str) -> None:
        """Record that ``host`` confirmed the withdrawal of the share."""
        if host == self.host:
            self.host = ''
            self.bound_until = -math.inf

    def _may_deposit(self, now: float) -> bool:
        return now - self._deposited_at >= self._deposit_interval_s


def validity_s(fleet_size: int) -> float:
    """Return for how long a share is delegated, in seconds."""
    return max(_MIN_VALID_S, fleet_size / _HOSTS_PER_VALID_S)
