"""Choice of a target within one service and region."""

import math
from random import Random

from balsamrail.configuration import Target
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.outlier_ejector import OutlierEjector
from balsamrail.steering.slow_start import effective_slots
from balsamrail.steering.target_state import TargetState


class TargetPicker:
    """Compares two random targets of the host's subset and takes the less loaded one.

    Load is own requests in flight plus the aged load that others had by the last report, for
    each effective slot. The own part of a target's slots is never exceeded.

    :param random: source of randomness, seeded in tests.
    :param slow_start_s: how long a new target takes to get its full load.
    :param aged: whether reports lose weight with age; benchmarks compare both.
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
        """Take over the targets of a declaration; those that are new start slowly."""
        # What was there when this host started is taken as warm.
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
        """Add a target that is in use since ``now``, unless it is known."""
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
        usable = [address for address in addresses if self.takes_work(address, now=now)]
        if not usable:
            return None
        pair = usable if len(usable) == 1 else self._random.sample(usable, 2)
        best = min(pair, key=lambda address: self.relative_load(address, now=now))
        return self._target_by_address[best]

    def takes_work(self, address: str, *, now: float) -> bool:
        """Return whether the target may get a request of this host now."""
        state = self.state_by_address.get(address)
        if state is None or not state.ready or state.is_leaving(now=now):
            return False
        if self.ejector.ejected(address, now=now):
            return False
        return state.in_flight < max(1, math.ceil(self.effective_slots(state, now=now)))

    def relative_load(self, address: str, *, now: float) -> float:
        """Return the load of a target for each effective slot."""
        state = self.state_by_address[address]
        load = state.load(now=now, aged=self._aged)
        return (load + 1) / self.effective_slots(state, now=now)

    def effective_slots(self, state: TargetState, *, now: float) -> float:
        """Return the slots of a target after slow start."""
        return effective_slots(
            slots=state.slots, age_s=now - state.since, slow_start_s=self._slow_start_s
        )

    def usable_fraction(self, targets: list[Target], *, now: float) -> float:
        """Return the part of the targets that neither fails nor leaves, 0 with no target."""
        known = self.state_by_address
        states = [known[target.address] for target in targets if target.address in known]
        unusable = sum(not self._is_usable(state, now=now) for state in states)
        return (len(targets) - unusable) / len(targets) if targets else 0

    def start(self, address: str) -> TargetState:
        """Count a request in flight and return the state that has to be told of its end."""
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
            # It comes back with a cold start.
            state.since = max(state.since, self.ejector.ejected_until(state.address))
        return ejected

    def _is_usable(self, state: TargetState, *, now: float) -> bool:
        return (
            state.ready
            and not state.is_leaving(now=now)
            and not self.ejector.failing(state.address, now=now)
        )
