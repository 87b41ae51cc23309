"""Decides when a target that has sent nothing is probed."""

from collections.abc import Collection
from dataclasses import dataclass

from balsamrail.placement.target_state import TargetState

# How long the silence of one target shortens the time allowed to the others of its zone.
_SUSPICION_S = 5.0
# A target that passes a probe is probed again when its silence has doubled, but at least this often.
_MAX_PROBE_INTERVAL_S = 4.0


@dataclass(slots=True, kw_only=True, frozen=True)
class _Passed:
    """A probe that a target has passed during its present silence.

    :param last_response_at: when the silence began.
    :param next_at: the earliest time of the next probe.
    """

    last_response_at: float
    next_at: float


class ProbeSchedule:
    """Selects the targets whose silence no longer fits the requests that they have.

    A machine without power neither responds nor closes its connections, so only a probe can tell
    it from a target that is still working. Probes cost the target, so they follow from the
    requests in flight and not from the number of targets: the first one is due when a request
    has been without any sign of life for the time that :class:`TargetState` allows, and targets
    in a zone where another one was found silent are probed sooner::

        schedule = ProbeSchedule(busy=target_registry.busy)
        for state in schedule.due(now=now):
            ...

    :param busy: the targets with requests in flight, kept up to date by their states.
    """

    __slots__ = ('_all_suspected_until', '_busy', '_passed_by_state', '_suspected_until_by_zone')

    def __init__(self, *, busy: Collection[TargetState]) -> None:
        self._busy = busy
        self._passed_by_state: dict[TargetState, _Passed] = {}
        self._suspected_until_by_zone: dict[str, float] = {}
        self._all_suspected_until: float = 0

    def due(self, *, now: float) -> list[TargetState]:
        """Return the targets to probe now."""
        self._passed_by_state = {
            state: passed for state, passed in self._passed_by_state.items() if state.in_flight
        }
        return [state for state in self._busy if now >= self._probe_at(state, now)]

    def note_passed(self, state: TargetState, *, now: float) -> None:
        """Record that a target accepts connections."""
        interval_s = min(_MAX_PROBE_INTERVAL_S, state.silent_s(now=now))
        self._passed_by_state[state] = _Passed(
            last_response_at=state.last_response_at, next_at=now + interval_s
        )

    def note_silent(self, state: TargetState, *, now: float) -> None:
        """Record that a target does not accept connections."""
        self._suspected_until_by_zone[state.entry.availability_zone] = now + _SUSPICION_S

    def suspect_all(self, *, now: float) -> None:
        """Shorten the time allowed to all targets, since this host's paths seem to be lost."""
        self._all_suspected_until = now + _SUSPICION_S

    def _probe_at(self, state: TargetState, now: float) -> float:
        suspected_until = max(
            self._all_suspected_until,
            self._suspected_until_by_zone.get(state.entry.availability_zone, 0),
        )
        is_suspected = now < suspected_until
        due_at = state.silence_ends_at(is_suspected=is_suspected)
        passed = self._passed_by_state.get(state)
        if passed is None or passed.last_response_at != state.last_response_at:
            return due_at
        return max(due_at, passed.next_at)
