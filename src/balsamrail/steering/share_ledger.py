"""Accounting of one host's share of the resources of one region."""

from collections.abc import Mapping

Amounts = dict[str, int]


class ShareLedger:
    """Tracks what this host holds: base + received - lent.

    Received and lent amounts are counters per peer that only increase within an epoch. The lender
    increases its counter before it sends, so an amount in transit belongs to no host. A holder
    that the epoch does not list holds and receives nothing, since the next epoch could otherwise
    assign again what such a holder borrowed.

    :param region: the region whose ``shares/<region>`` object defines the base of this ledger.
    :param holder: the ``host@incarnation`` of this host.
    """

    __slots__ = (
        '_base',
        '_earlier_peak',
        '_held',
        '_in_use',
        '_lent_by_borrower',
        '_received_by_lender',
        '_recent_peak',
        'epoch',
        'holder',
        'listed',
        'region',
        'sealed',
    )

    def __init__(self, *, region: str, holder: str) -> None:
        self.region = region
        self.holder = holder
        self.epoch = 0
        self.sealed = False
        self.listed = False
        self._base: Amounts = {}
        self._held: Amounts = {}
        self._in_use: Amounts = {}
        self._recent_peak: Amounts = {}
        self._earlier_peak: Amounts = {}
        self._received_by_lender: dict[str, Amounts] = {}
        self._lent_by_borrower: dict[str, Amounts] = {}

    def held(self, resource: str) -> int:
        """Return the amount that this host holds."""
        return self._held.get(resource, 0)

    def in_use(self, resource: str) -> int:
        """Return the amount that requests in flight use."""
        return self._in_use.get(resource, 0)

    def spare(self, resource: str) -> int:
        """Return the amount held and not in use, 0 if more is in use than held."""
        return max(0, self.held(resource) - self.in_use(resource))

    def lendable(self, resource: str) -> int:
        """Return the amount that stayed free over the last one to two measuring periods."""
        return max(0, self.held(resource) - max(self.in_use(resource), self._peak(resource)))

    def rotate_peaks(self) -> None:
        """Begin a new period of measuring peak use; to be called once per second."""
        self._earlier_peak = self._recent_peak
        self._recent_peak = dict(self._in_use)

    def all_held(self) -> Amounts:
        """Return a copy of the held amounts of all resources."""
        return dict(self._held)

    def shortage(self, cost: Mapping[str, int], *, limit: float = 1) -> Amounts:
        """Return what is missing to acquire ``cost`` within the fraction ``limit`` of the share."""
        missing: Amounts = {}
        for resource, amount in cost.items():
            missing_amount = self.in_use(resource) + amount - int(self.held(resource) * limit)
            if missing_amount > 0:
                missing[resource] = missing_amount
        return missing

    def acquire(self, cost: Mapping[str, int]) -> None:
        """Count ``cost`` as in use; call :meth:`shortage` first."""
        for resource, amount in cost.items():
            in_use = self.in_use(resource) + amount
            self._in_use[resource] = in_use
            self._recent_peak[resource] = max(in_use, self._recent_peak.get(resource, 0))

    def release(self, cost: Mapping[str, int]) -> None:
        """Count ``cost`` as no longer in use."""
        for resource, amount in cost.items():
            self._in_use[resource] = self.in_use(resource) - amount

    def lend(self, *, borrower: str, amounts: Mapping[str, int]) -> Amounts:
        """Deduct a loan and return the totals lent to ``borrower`` in this epoch.

        Amounts are limited to the spare share. While the epoch is sealed nothing is lent.
        """
        lent = self._lent_by_borrower.setdefault(borrower, {})
        if not self.sealed and self.listed and borrower != self.holder:
            for resource, amount in amounts.items():
                granted = min(max(0, amount), self.spare(resource))
                lent[resource] = lent.get(resource, 0) + granted
                self._held[resource] = self.held(resource) - granted
        return {name: total for name, total in lent.items() if total}

    def receive(self, *, lender: str, epoch: int, totals: Mapping[str, int]) -> bool:
        """Raise the counters of ``lender`` to ``totals`` and return whether they were accepted.

        A message of another epoch or after the seal is ignored. The amount then stays unused until
        the next epoch.
        """
        if epoch != self.epoch or self.sealed or not self.listed or lender == self.holder:
            return False
        received = self._received_by_lender.setdefault(lender, {})
        for resource, total in totals.items():
            increase = max(0, total - received.get(resource, 0))
            received[resource] = received.get(resource, 0) + increase
            self._held[resource] = self.held(resource) + increase
        return True

    def seal(self, epoch: int) -> bool:
        """Stop lending and receiving if ``epoch`` is the current one, and return whether it is."""
        if epoch == self.epoch and self.listed:
            self.sealed = True
            return True
        return False

    def adopt(
        self,
        epoch: int,
        *,
        base: Mapping[str, int] | None,
        unsealed: bool,
        joined: int = 0,
    ) -> bool:
        """Adopt a higher epoch, or the first entry of this holder in the current one.

        :param base: the share that the epoch assigns to this holder, ``None`` if it is not listed.
        :param unsealed: whether the epoch reserves what this holder held, which becomes its base.
        :param joined: the epoch in which this holder was listed; what it held before was
            reclaimed.
        """
        is_newer = epoch > self.epoch
        is_first = epoch == self.epoch and not self.listed and base is not None
        if not is_newer and not is_first:
            return False
        if base is not None:
            self._base = dict(base)
        elif unsealed and self.epoch >= joined:
            self._base = dict(self._held)
        else:
            self._base = {}
        self.listed = base is not None or unsealed
        self._held = dict(self._base)
        self._received_by_lender.clear()
        self._lent_by_borrower.clear()
        self.epoch = epoch
        self.sealed = False
        return True

    def dump(self) -> dict[str, object]:
        """Return the state as plain data."""
        return {
            'epoch': self.epoch,
            'sealed': self.sealed,
            'listed': self.listed,
            'held': self.all_held(),
            'in_use': dict(self._in_use),
        }

    def _peak(self, resource: str) -> int:
        return max(self._recent_peak.get(resource, 0), self._earlier_peak.get(resource, 0))
