"""The hosts that have delegated their shares to a coordinator."""

import secrets

_EPOCH_BITS = 53
_MS_IN_S = 1_000


class Delegations:
    """Measures for which part of the fleet a coordinator may give tokens.

    Each host owns an equal share of each quota and delegates it to one coordinator at a time, until
    a moment on that coordinator's clock. Tokens accrue for the delegated shares only, so that two
    hosts that both act as coordinator give no more together than one.
    """

    __slots__ = (
        '_fleet_size',
        '_until_by_host',
        '_updated_at',
        '_withdrawn_at_by_host',
        'deposited',
        'epoch',
        'integral_s',
    )

    def __init__(self, *, now: float) -> None:
        # Stamps of an earlier process on this host are not on the same clock.
        self.epoch = secrets.randbits(_EPOCH_BITS) | 1
        # The integral of the delegated fraction of the fleet over time.
        self.integral_s: float = 0
        # The sum of the fractions of the fleet that came with initial tokens.
        self.deposited: float = 0
        self._until_by_host: dict[str, float] = {}
        # A message that was delayed in the network must not delegate a share that was withdrawn.
        self._withdrawn_at_by_host: dict[str, float] = {}
        self._updated_at = now
        self._fleet_size = 1

    def advance(self, *, now: float, fleet_size: int) -> None:
        """Accrue until ``now`` for the shares that are still delegated then.

        A share that lapsed since the last call does not count, since this process may have been
        suspended for long after it lapsed.
        """
        lapsed = [host for host, until in self._until_by_host.items() if until <= now]
        for host in lapsed:
            del self._until_by_host[host]
        self._fleet_size = max(fleet_size, len(self._until_by_host), 1)
        self.integral_s += self.fraction() * max(0, now - self._updated_at)
        self._updated_at = now

    def fraction(self) -> float:
        """Return the delegated fraction of the fleet."""
        return len(self._until_by_host) / self._fleet_size

    def delegate(
        self, host: str, *, stamp_ms: int, valid_ms: int, has_deposit: bool, now: float
    ) -> None:
        """Record that a host delegates its share until ``valid_ms`` after a stamp."""
        until = (stamp_ms + valid_ms) / _MS_IN_S
        withdrawn_at = self._withdrawn_at_by_host.get(host, -1)
        if until <= now or stamp_ms / _MS_IN_S <= withdrawn_at:
            return
        is_new = host not in self._until_by_host
        self._until_by_host[host] = until
        self._fleet_size = max(self._fleet_size, len(self._until_by_host))
        if is_new and has_deposit:
            self.deposited += 1 / self._fleet_size

    def withdraw(self, host: str, *, now: float) -> None:
        """Record that a host no longer delegates its share."""
        self._withdrawn_at_by_host[host] = now
        self._until_by_host.pop(host, None)
