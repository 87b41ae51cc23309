"""Detects targets that have stopped responding while requests are in flight."""

import asyncio
from typing import Any

from balsamrail.delivery.connect_probe import Reachability, probe_reachability
from balsamrail.environment import Environment
from balsamrail.placement.probe_schedule import ProbeSchedule
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState

_CHECK_INTERVAL_S = 0.1
# Longer than a round trip between the farthest regions; a working operating system accepts
# connections at once.
_CONNECT_TIMEOUT_S = 0.25
# More than one, since a bad link may lose about one packet in thirty.
_CONNECT_ATTEMPTS = 2
# Delay before the first health check of a target that was found silent.
_FIRST_CHECK_DELAY_S = 0.5


class LivenessChecker:
    """Opens a test connection to targets that have sent nothing for too long.

    A machine that lost power neither responds nor closes its connections, and its store entry
    expires only after seconds. A target that does not respond to two connection attempts in a row
    is marked as down; its idempotent requests are aborted so that they are retried elsewhere.
    """

    __slots__ = ('_checks_by_state', '_environment', '_paths', '_schedule')

    def __init__(self, *, environment: Environment, target_registry: TargetRegistry) -> None:
        self._environment = environment
        self._paths = target_registry.paths
        self._schedule = ProbeSchedule(busy=target_registry.busy)
        self._checks_by_state: dict[TargetState, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start due connection checks until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = self._environment.clock.monotonic()
            if self._paths.is_lost():
                self._schedule.suspect_all(now=now)
            for state in self._schedule.due(now=now):
                may_connect = state.availability.may_be_probed(now=now)
                if may_connect and state not in self._checks_by_state:
                    self._checks_by_state[state] = asyncio.create_task(self._check(state))

    def dump(self) -> dict[str, Any]:
        """Return the targets that are being checked."""
        return {'checking': sorted(state.entry.target_id for state in self._checks_by_state)}

    async def _check(self, state: TargetState) -> None:
        began = self._environment.clock.monotonic()
        try:
            is_up = await self._accepts_connections(state.entry.address)
        finally:
            self._checks_by_state.pop(state, None)
        now = self._environment.clock.monotonic()
        if is_up:
            self._schedule.note_passed(state, now=now)
        elif state.in_flight and state.last_response_at <= began:
            self._mark_down(state, now)

    def _mark_down(self, state: TargetState, now: float) -> None:
        self._schedule.note_silent(state, now=now)
        self._environment.metrics.count('targets_silent')
        self._environment.log.event(
            'target_silent',
            target=state.entry.target_id,
            silent_s=state.silent_s(now=now),
            in_flight=state.in_flight,
        )
        state.note_down(check_at=now + _FIRST_CHECK_DELAY_S, now=now)
        state.close_retryable()

    async def _accepts_connections(self, address: str) -> bool:
        for _ in range(_CONNECT_ATTEMPTS):
            self._environment.metrics.count('target_silence_checks')
            reachability = await probe_reachability(
                environment=self._environment, address=address, timeout_s=_CONNECT_TIMEOUT_S
            )
            # A refusal shows that the machine is up; the next request handles the refusal itself.
            if reachability is not Reachability.silent:
                return True
        return False
