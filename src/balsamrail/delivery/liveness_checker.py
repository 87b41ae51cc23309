"""Detects targets that have stopped responding while requests are in flight."""

import asyncio
from typing import Any

from balsamrail.delivery.connect_probe import Reachability, probe_reachability
from balsamrail.environment import Environment
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState

_CHECK_INTERVAL_S = 0.1
# Responses often take this long, so silence alone does not mean that a target is down.
_SILENCE_THRESHOLD_S = 0.4
# Longer than a round trip between the farthest regions; a working operating system accepts
# connections at once.
_CONNECT_TIMEOUT_S = 0.25
# More than one, since a bad link may lose about one packet in thirty.
_CONNECT_ATTEMPTS = 2
_RECHECK_INTERVAL_S = 0.5


class LivenessChecker:
    """Opens a test connection to targets that have sent nothing for a while.

    A machine that lost power neither responds nor closes its connections, and its store entry
    expires only after seconds. A target that does not respond to two connection attempts in a row
    is marked as down; its idempotent requests are aborted so that they are retried elsewhere.
    """

    __slots__ = ('_checks_by_id', '_environment', '_target_registry')

    def __init__(self, *, environment: Environment, target_registry: TargetRegistry) -> None:
        self._environment = environment
        self._target_registry = target_registry
        self._checks_by_id: dict[str, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Start due connection checks until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = self._environment.clock.monotonic()
            for target_id, state in self._target_registry.states_by_id.items():
                is_due = state.silent_s(now=now) >= _SILENCE_THRESHOLD_S and now >= state.check_at
                may_connect = state.availability.may_be_probed(now=now)
                if is_due and may_connect and target_id not in self._checks_by_id:
                    task = asyncio.create_task(self._check(state))
                    self._checks_by_id[target_id] = task

    def dump(self) -> dict[str, Any]:
        """Return the targets that are being checked."""
        return {'checking': sorted(self._checks_by_id)}

    async def _check(self, state: TargetState) -> None:
        try:
            for _ in range(_CONNECT_ATTEMPTS):
                if await self._accepts(state.entry.address):
                    state.check_at = self._environment.clock.monotonic() + _RECHECK_INTERVAL_S
                    return
        finally:
            self._checks_by_id.pop(state.entry.target_id, None)
        now = self._environment.clock.monotonic()
        if state.silent_s(now=now) < _SILENCE_THRESHOLD_S:
            return
        self._environment.metrics.count('targets_silent')
        self._environment.log.event(
            'target_silent',
            target=state.entry.target_id,
            silent_s=state.silent_s(now=now),
            in_flight=state.in_flight,
        )
        state.note_down(check_at=now + _RECHECK_INTERVAL_S, now=now)
        state.close_retryable()

    async def _accepts(self, address: str) -> bool:
        self._environment.metrics.count('target_silence_checks')
        reachability = await probe_reachability(
            environment=self._environment, address=address, timeout_s=_CONNECT_TIMEOUT_S
        )
        # A refusal shows that the machine is up; the next request handles the refusal itself.
        return reachability is not Reachability.silent
