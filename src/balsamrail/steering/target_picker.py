"""Selection of a target within one service and region."""

import math
from random import Random

from balsamrail.configuration import Target
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.outlier_ejector import OutlierEjector
from balsamrail.steering.slow_start import effective_slots
from balsamrail.steering.target_state import TargetState


class TargetPicker:
    """Selects the less loaded of two random targets of the host's subset (power of two choices).

    Load is the number of own requests in flight plus the aged load of other hosts in the last
    report, per effective slot. Own requests never exceed the effective slots of a target.

    :param random: source of randomness, seeded in tests.
    :param slow_start_s: the time until a new target receives its full load.
    :param aged: whether reports lose weight with age; benchmarks compare both variants.
    """

    __slots__ = (
        '_aged',
        '_random',
        '_slow_start_s',
        '_target_by_address',
        'ejector',
        'state_by_address',
    )

    def __init__(
        self,
        *,
        random: Random,
        slow_start_s: float,
        ejector: OutlierEjector | None = None,
        aged: bool = True,
    ) -> None:
        self._random = random
        self._slow_start_s = slow_start_s
        self._aged = aged
        self._target_by_address: dict[str, Target] = {}
        self.ejector = ejector or OutlierEjector()
        self.state_by_address: dict[str, TargetState] = {}

    def update(self, targets: list[Target], *, now: float, slow_start_s: float) -> None:
        """Replace the targets with those of a declaration; new targets begin with slow start."""
        # Targets that exist when this host starts are assumed to be warm.
        since = now if self.state_by_address else -math.inf
        self._slow_start_s = slow_start_s
        addresses = {target.address for target in targets}
        for known in list(self.state_by_address.values()):
            if known.address not in addresses and not known.in_flight:
                self.state_by_address.pop(known.address)
                self._target_by_address.pop(known.address)
        for target in targets:
            self.add(target, now=since)
            state = self.state_by_address[target.address]
            state.slots = target.slots
            state.connections = target.connections
            self._target_by_address[target.address] = target
        self.ejector.retain(set(self.state_by_address), now=now)

    def add(self, target: Target, *, now: float) -> None:
        """Add a target in use since ``now``, unless it already exists."""
        if target.address not in self.state_by_address:
            self._target_by_address[target.address] = target
            self.state_by_address[target.address] = TargetState(
                address=target.address,
                slots=target.slots,
                connections=target.connections,
                since=now,
            )

    def pick(self, addresses: list[str], *, now: float) -> Target | None:
        """Return a target among ``addresses``, ``None`` if none can take a request now."""
        usable = [address for address in addresses if self.can_take_request(address, now=now)]
        if not usable:
            return None
        pair = usable if len(usable) == 1 else self._random.sample(usable, 2)
        best = min(pair, key=lambda address: self.relative_load(address, now=now))
        return self._target_by_address[best]

    def can_take_request(self, address: str, *, now: float) -> bool:
        """Return whether this host may send a request to the target now."""
        state = self.state_by_address.get(address)
        if state is None or not state.ready or state.is_leaving(now=now):
            return False
        if self.ejector.ejected(address, now=now):
            return False
        return state.in_flight < max(1, math.ceil(self.effective_slots(state, now=now)))

    def relative_load(self, address: str, *, now: float) -> float:
        """Return the load of a target per effective slot."""
        state = self.state_by_address[address]
        load = state.load(now=now, aged=self._aged)
        return (load + 1) / self.effective_slots(state, now=now)

    def effective_slots(self, state: TargetState, *, now: float) -> float:
        """Return the slots of a target after slow start."""
        return effective_slots(
            slots=state.slots, age_s=now - state.since, slow_start_s=self._slow_start_s
        )

    def usable_fraction(self, targets: list[Target], *, now: float) -> float:
        """Return the fraction of targets that neither fail nor leave, 0 without targets."""
        known = self.state_by_address
        states = [known[target.address] for target in targets if target.address in known]
        unusable = sum(not self._is_usable(state, now=now) for state in states)
        return (len(targets) - unusable) / len(targets) if targets else 0

    def start(self, address: str) -> TargetState:
        """Count a request in flight and return the state to pass to :meth:`finish`."""
        state = self.state_by_address[address]
        state.in_flight += 1
        return state

    def finish(self, state: TargetState, result: AttemptResult, *, now: float) -> bool:
        """Count a request as no longer in flight and return whether it ejected the target."""
        state.in_flight -= 1
        ejected = self.ejector.observe(
            state.address, result, now=now, targets=len(self.state_by_address)
        )
        if ejected:
            # After the ejection the target begins with slow start.
            state.since = max(state.since, self.ejector.ejected_until(state.address))
        return ejected

    def _is_usable(self, state: TargetState, *, now: float) -> bool:
        return (
            state.ready
            and not state.is_leaving(now=now)
            and not self.ejector.failing(state.address, now=now)
        )
