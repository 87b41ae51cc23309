"""Chooses the target of a request or refuses the request."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.placement.cold_gate import ColdGate
from balsamrail.placement.target_book import TargetBook
from balsamrail.placement.target_state import TargetState

# An object is handled by so many targets at most; further ones would not know it.
_TARGETS_OF_OBJECT = 2
_CANDIDATES = 4
# Room comes and goes within the time of one answer.
_RETRY_S = 0.1
# Requests at a target, running and waiting, in proportion to its slots. Beyond the first of the
# two an answer would be late; a target that does not know the object takes it only into a free
# slot, since the run is slow and would hold up those that it knows.
_FULL = 1.8
_SPARE = 0.8


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

    __slots__ = ('_book', '_gate', '_region')

    def __init__(self, *, book: TargetBook, gate: ColdGate, region: str) -> None:
        self._book = book
        self._gate = gate
        self._region = region

    def choose(
        self,
        route: ManifestRoute,
        *,
        service: str,
        object_key: str,
        assigned: str | None,
        tried: Sequence[str],
        now: float,
    ) -> TargetState | Refused:
        """Return where a request goes.

        :param assigned: the target that the object is assigned to.
        :param tried: the targets to which it was sent before.
        """
        usable: list[TargetState] = []
        for target_id in self._candidates(route, service, object_key, assigned, len(tried)):
            state = self._book.state_of(target_id)
            if state is None or state.is_down or state in usable or target_id in tried:
                continue
            if not state.is_cold(now=now) or self._may_warm(state, now):
                usable.append(state)
            if len(usable) == _TARGETS_OF_OBJECT:
                break
        if not usable:
            return Refused(reason='no_target', retry_after_s=_RETRY_S)
        for number, state in enumerate(usable):
            if state.fill(now=now) < (_SPARE if number else _FULL):
                if state.is_cold(now=now):
                    self._gate.note_sent(state.entry.target_id, now=now)
                return state
        return Refused(reason='overloaded', retry_after_s=_RETRY_S)

    def _candidates(
        self,
        route: ManifestRoute,
        service: str,
        object_key: str,
        assigned: str | None,
        tried: int,
    ) -> Iterable[str]:
        if assigned is not None:
            yield assigned
        scopes = [route.allowed_regions]
        if route.allows(self._region):
            scopes.insert(0, frozenset((self._region,)))
        for allowed_regions in scopes:
            ranking = self._book.ranking_of(service, allowed_regions=allowed_regions)
            for target_id in ranking.best(object_key, count=_CANDIDATES + tried):
                if target_id != assigned:
                    yield target_id

    def _may_warm(self, state: TargetState, now: float) -> bool:
        per_s = self._book.cold_rate_of(state.entry.service)
        return self._gate.is_open(state.entry.target_id, per_s=per_s, now=now)
