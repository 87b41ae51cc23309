"""Chooses the target of a request or refuses the request."""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from itertools import islice

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.placement.cold_gate import ColdGate
from balsamrail.placement.object_order import ObjectOrder
from balsamrail.placement.target_book import TargetBook
from balsamrail.placement.target_state import TargetState

# An object is handled by so many targets at most; further ones would not know it.
_TARGETS_OF_OBJECT = 2
# So many are looked at for a good one if these are slow or lose answers.
_FURTHER_TARGETS = 4
# Requests at a target, running and waiting, in proportion to its slots. Beyond the first bound an
# answer would be late. A target that does not know the object takes it only into a free slot,
# since the run is slow and would hold up the objects that the target knows.
_FULL = 2.0
# Each step of priority down lowers the bound, so that the less urgent are refused first.
_PRIORITY_STEP = 0.2
_LOWEST_FULL = 1.2
_SPARE = 0.8
# Room comes and goes within the time of one answer.
_RETRY_S = 0.1


@dataclass(slots=True, kw_only=True, frozen=True)
class Refused:
    """No target has room.

    :param reason: a word for logs and metrics.
    :param retry_after_s: when there is likely to be room, in seconds.
    """

    reason: str
    retry_after_s: float


class Chooser:
    """Places a request by its object.

    A target is faster for an object that it handled recently and remembers only some of them, so
    that spilling to further targets makes all of them slower. A request therefore goes to one of
    the first targets of its object or is refused; to another one only if none of these is up.

    On routes where a target is no faster for known objects, the emptier one of two targets that
    the request's id names is taken.

    It answers the load of bursts and of lost targets: what cannot be answered in time is refused
    at once, and known objects go before unknown ones.
    """

    __slots__ = ('_book', '_gate')

    def __init__(self, *, book: TargetBook, gate: ColdGate) -> None:
        self._book = book
        self._gate = gate

    def choose(
        self,
        route: ManifestRoute,
        *,
        service: str,
        object_key: str,
        tried: Sequence[str],
        now: float,
        stays_near: bool = False,
    ) -> TargetState | Refused:
        """Return where a request goes.

        :param tried: the targets to which it was sent before.
        :param stays_near: see :meth:`ObjectOrder.candidates`.
        """
        order = self._book.order_of(service, allowed_regions=route.allowed_regions)
        usable = self._usable(order, object_key, tried, now=now, stays_near=stays_near)
        if not usable:
            return Refused(reason='no_target', retry_after_s=_RETRY_S)
        full = max(_LOWEST_FULL, _FULL - _PRIORITY_STEP * route.priority)
        if not route.is_sticky:
            # Any target serves as well as another, so the emptier one of two is best.
            usable.sort(key=lambda state: (state.is_bad(now=now), state.fill(now=now)))
        for position, state in enumerate(usable):
            if state.fill(now=now) < (_SPARE if position and route.is_sticky else full):
                if state.is_cold(now=now):
                    self._gate.note_sent(state.entry.target_id, now=now)
                return state
        return Refused(reason='overloaded', retry_after_s=_RETRY_S)

    def _usable(
        self,
        order: ObjectOrder,
        object_key: str,
        tried: Sequence[str],
        *,
        now: float,
        stays_near: bool,
    ) -> list[TargetState]:
        candidates = order.candidates(
            object_key, in_region=_TARGETS_OF_OBJECT + len(tried), stays_near=stays_near
        )
        usable = list(islice(self._usable_of(candidates, tried, now), _TARGETS_OF_OBJECT))
        if not usable:
            resorts = self._usable_of(order.last_resorts(object_key), tried, now)
            return list(islice(resorts, 1))
        good = [state for state in usable if not state.is_bad(now=now)]
        if not good:
            further = order.candidates(
                object_key, in_region=_FURTHER_TARGETS + len(tried), stays_near=stays_near
            )
            good = [
                state
                for state in self._usable_of(further, tried, now)
                if not state.is_bad(now=now) and state.fill(now=now) < _SPARE
            ][:1]
        # Targets that are slow or lose answers come last; the order stays otherwise.
        return [*good, *(state for state in usable if state not in good)]

    def _usable_of(
        self, target_ids: Iterable[str], tried: Sequence[str], now: float
    ) -> Iterator[TargetState]:
        for target_id in target_ids:
            state = self._book.state_of(target_id)
            if state is None or state.is_down or target_id in tried:
                continue
            if not state.is_cold(now=now) or self._may_warm(state, now):
                yield state

    def _may_warm(self, state: TargetState, now: float) -> bool:
        per_s = self._book.cold_rate_of(state.entry.service)
        return self._gate.is_open(state.entry.target_id, per_s=per_s, now=now)
