"""Chooses the target of a request or refuses the request."""

from collections.abc import Sequence
from dataclasses import dataclass

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.placement.cold_gate import ColdGate
from balsamrail.placement.target_book import TargetBook
from balsamrail.placement.target_state import TargetState

# An object is handled by so many targets at most; further ones would not know it.
_TARGETS_OF_OBJECT = 2
_CANDIDATES = 4
# Requests at a target, running and waiting, in proportion to its slots.
_FULL = 2.5


@dataclass(slots=True, kw_only=True, frozen=True)
class Chosen:
    """The target that takes the request."""

    state: TargetState


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
    the first targets of its object or is refused.
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
    ) -> Chosen | Refused:
        """Return where a request goes.

        :param tried: the targets to which it was sent before.
        """
        ranking = self._book.ranking_of(service, allowed_regions=route.allowed_regions)
        usable = []
        for target_id in ranking.best(object_key, count=_CANDIDATES + len(tried)):
            state = self._book.state_of(target_id)
            if state is None or state.is_down or target_id in tried:
                continue
            if not state.is_cold(now=now) or self._may_warm(state, now):
                usable.append(state)
        if not usable:
            return Refused(reason='no_target', retry_after_s=0.3)
        for state in usable[:_TARGETS_OF_OBJECT]:
            if state.fill(now=now) < _FULL:
                if state.is_cold(now=now):
                    self._gate.note_sent(state.entry.target_id, now=now)
                return Chosen(state=state)
        return Refused(reason='overloaded', retry_after_s=0.3)

    def _may_warm(self, state: TargetState, now: float) -> bool:
        per_s = self._book.cold_rate_of(state.entry.service)
        return self._gate.is_open(state.entry.target_id, per_s=per_s, now=now)
