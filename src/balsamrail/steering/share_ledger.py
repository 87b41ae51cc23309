"""The share of one region's resources that one host holds."""

from collections.abc import Mapping

Amounts = dict[str, int]


class ShareLedger:
    """Counts what this host holds: base + received - given.

    Received and given are counters for each peer that only grow within an epoch. The lender
    raises its counter before it sends, so what is in transit is counted for nobody. A holder
    that no epoch names holds nothing and takes nothing, since a share epoch could otherwise
    hand out again what such a holder borrowed.

    :param region: the region whose ``shares/<region>`` object rules this ledger.
    :param holder: ``host@incarnation`` of this host.
    """

    __slots__ = (
        '_base',
        '_earlier_peak',
        '_given_by_borrower',
        '_held',
        '_in_use',
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
        self._given_by_borrower: dict[str, Amounts] = {}

    def held(self, resource: str) -> int:
        """Return how much this host holds."""
        return self._held.get(resource, 0)

    def in_use(self, resource: str) -> int:
        """Return how much the requests in flight take."""
        return self._in_use.get(resource, 0)

    def spare(self, resource: str) -> int:
        """Return how much is held and not in use, 0 if more is in use than held."""
        return max(0, self.held(resource) - self.in_use(resource))

    def lendable(self, resource: str) -> int:
        """Return how much stayed free for one to two seconds, as :meth:`roll` is called."""
        return max(0, self.held(resource) - max(self.in_use(resource), self._peak(resource)))

    def roll(self) -> None:
        """Begin a new period of measuring the use; call it once a second."""
        self._earlier_peak = self._recent_peak
        self._recent_peak = dict(self._in_use)

    def all_held(self) -> Amounts:
        """Return a copy of all that is held."""
        return dict(self._held)

    def shortage(self, cost: Mapping[str, int], *, limit: float = 1) -> Amounts:
        """Return what is missing to take ``cost`` within the fraction ``limit`` of the share."""
        missing: Amounts = {}
        for resource, amount in cost.items():
            lacking = self.in_use(resource) + amount - int(self.held(resource) * limit)
            if lacking > 0:
                missing[resource] = lacking
        return missing

    def take(self, cost: Mapping[str, int]) -> None:
        """Count ``cost`` as in use; call :meth:`shortage` first."""
        for resource, amount in cost.items():
            in_use = self.in_use(resource) + amount
            self._in_use[resource] = in_use
            self._recent_peak[resource] = max(in_use, self._recent_peak.get(resource, 0))

    def give_back(self, cost: Mapping[str, int]) -> None:
        """Count ``cost`` as no longer in use."""
        for resource, amount in cost.items():
            self._in_use[resource] = self.in_use(resource) - amount

    def give(self, *, borrower: str, amounts: Mapping[str, int]) -> Amounts:
        """Lower the own share and return all that was ever given to ``borrower``.

        Amounts above the spare share are cut. While sealed nothing is given.
        """
        given = self._given_by_borrower.setdefault(borrower, {})
        if not self.sealed and self.listed and borrower != self.holder:
            for resource, amount in amounts.items():
                granted = min(max(0, amount), self.spare(resource))
                given[resource] = given.get(resource, 0) + granted
                self._held[resource] = self.held(resource) - granted
        return {name: total for name, total in given.items() if total}

    def receive(self, *, lender: str, epoch: int, totals: Mapping[str, int]) -> bool:
        """Raise the counters of ``lender`` to ``totals`` and return whether that was allowed.

        A message of another epoch, or one that arrives after the seal, is ignored. The amount
        then stays unused until the next epoch.
        """
        if epoch != self.epoch or self.sealed or not self.listed or lender == self.holder:
            return False
        received = self._received_by_lender.setdefault(lender, {})
        for resource, total in totals.items():
            gain = max(0, total - received.get(resource, 0))
            received[resource] = received.get(resource, 0) + gain
            self._held[resource] = self.held(resource) + gain
        return True

    def seal(self, epoch: int) -> bool:
        """Stop giving and receiving in ``epoch`` and return whether it is the own one."""
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
        """Move to a higher epoch, or take up a first entry in the present one.

        :param base: what the epoch gives to this holder, ``None`` if it does not name it.
        :param unsealed: the epoch keeps back what this holder held, which becomes its base.
        :param joined: the epoch in which this holder was listed; what it held before that was
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
        self._given_by_borrower.clear()
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
