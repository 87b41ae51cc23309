"""Checks when a failed target can be used again."""

import asyncio
import random
from typing import Any

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.catalog import Catalog
from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.delivery.health_report import HealthCodec, HealthReport
from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.delivery.http_message import HttpRequest
from balsamrail.delivery.notice_handler import NoticeHandler
from balsamrail.environment import Environment
from balsamrail.errors import ExchangeError
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState

_CHECK_INTERVAL_S = 0.25
_PROBE_TIMEOUT_S = 1.0
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 2.0
_MAX_RESPONSE_BYTES = 65_536
# While the paths of this host seem to be lost, so many targets that are down are checked in each interval,
# and so many that are not. They are spread, so that one of them is sent soon after the paths return.
_CHECKS_IF_LOST = 2
_SENTINELS = 2
# The rate at which all targets are checked once one of them has responded after such a loss.
_RECHECKS_PER_S = 200
_MIN_RECHECK_SPREAD_S = 0.2
# Callers' requests come before checks, whatever their priority.
_CHECK_PRIORITY = 1_000


class HealthChecker:
    """Probes the health of targets that refused or dropped connections.

    Callers' requests are never used to probe whether a target has recovered. A recovered target
    is treated as cold, since it has most likely restarted, unless this host had lost its paths to
    all targets when that one failed.

    While these paths seem to be lost, targets that are not down are checked as well, a few at a time:
    a response of any shows that they are not.
    """

    __slots__ = (
        '_backoff_by_id',
        '_catalog',
        '_checks_by_id',
        '_codec',
        '_environment',
        '_notice_handler',
        '_send_limits',
        '_target_registry',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        catalog: Catalog,
        target_registry: TargetRegistry,
        codec: HealthCodec,
        notice_handler: NoticeHandler,
        send_limits: SendLimits,
    ) -> None:
        self._environment = environment
        self._catalog = catalog
        self._target_registry = target_registry
        self._codec = codec
        self._notice_handler = notice_handler
        self._send_limits = send_limits
        self._checks_by_id: dict[str, asyncio.Task[None]] = {}
        self._backoff_by_id: dict[str, float] = {}

    async def run(self) -> None:
        """Start due health checks until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            now = self._environment.clock.monotonic()
            due = [
                state
                for target_id, state in self._target_registry.states_by_id.items()
                if state.is_check_due(now=now) and target_id not in self._checks_by_id
            ]
            if self._target_registry.paths.is_lost():
                some_due = random.sample(due, min(_CHECKS_IF_LOST, len(due)))
                due = [*self._sentinels(), *some_due]
            for state in due:
                self._start_check(state, now)

    def recheck_lost(self) -> None:
        """Check the targets soon that were lost together with the paths of this host."""
        now = self._environment.clock.monotonic()
        lost = [
            state
            for state in self._target_registry.states_by_id.values()
            if state.is_lost_with_paths()
        ]
        spread_s = max(_MIN_RECHECK_SPREAD_S, len(lost) / _RECHECKS_PER_S)
        for state in lost:
            self._backoff_by_id.pop(state.entry.target_id, None)
            state.check_at = now + random.uniform(0, spread_s)
            check = self._checks_by_id.get(state.entry.target_id)
            if check is not None:
                # It was sent over the lost path, and would wait for its timeout.
                check.cancel()

    def _sentinels(self) -> list[TargetState]:
        unchecked = [
            state
            for target_id, state in self._target_registry.states_by_id.items()
            if state.availability.exclusion_reason(now=self._environment.clock.monotonic()) is None
            and target_id not in self._checks_by_id
        ]
        return random.sample(unchecked, min(_SENTINELS, len(unchecked)))

    def dump(self) -> dict[str, Any]:
        """Return the targets that are being checked."""
        return {'checking': sorted(self._checks_by_id)}

    def _start_check(self, state: TargetState, now: float) -> None:
        """Start a check, unless the target named a limit that leaves no room for it."""
        limiter = self._send_limits.rate_limiter
        if limiter.allows(state, priority=_CHECK_PRIORITY, now=now):
            limiter.record_sent(state, now=now)
            self._checks_by_id[state.entry.target_id] = asyncio.create_task(self._check(state))

    async def _check(self, state: TargetState) -> None:
        try:
            report = await self._probe(state.entry)
        finally:
            self._checks_by_id.pop(state.entry.target_id, None)
        now = self._environment.clock.monotonic()
        if report is not None:
            state.paths.note_contact(now=now)
            self._notice_handler.handle(state, report.notice)
        # A leaving target is never used again, so its health does not matter.
        if state.availability.leaving_since is None:
            self._apply(state, report, now)

    def _apply(self, state: TargetState, report: HealthReport | None, now: float) -> None:
        target_id = state.entry.target_id
        if report is not None and report.is_usable:
            self._backoff_by_id.pop(target_id, None)
            if state.is_down:
                self._mark_up(state, report, now)
            return
        if report is None and not state.is_down:
            state.note_down(check_at=now, now=now)
        backoff_s = self._backoff_by_id.get(target_id, _INITIAL_BACKOFF_S)
        if not state.paths.is_lost():
            self._backoff_by_id[target_id] = min(_MAX_BACKOFF_S, backoff_s * 2)
        state.check_at = now + backoff_s

    def _mark_up(self, state: TargetState, report: HealthReport, now: float) -> None:
        cold_s = report.cold_left_s
        if cold_s is None and state.is_lost_with_paths():
            cold_s = 0
        if cold_s is None:
            manifest = self._catalog.manifest
            spec = manifest.services.get(state.entry.service) if manifest else None
            cold_s = spec.warmup_s if spec else 0
        state.availability.note_up()
        state.failures = 0
        state.availability.note_cold(now + cold_s, now=now)
        self._environment.log.event(
            'target_back', target=state.entry.target_id, cold_left_s=cold_s
        )

    async def _probe(self, entry: TargetEntry) -> HealthReport | None:
        manifest = self._catalog.manifest
        spec = manifest.services.get(entry.service) if manifest else None
        if spec is None:
            return None
        self._environment.metrics.count('target_probes')
        connection = HttpConnection(
            environment=self._environment,
            address=entry.address,
            user_timeout_s=_PROBE_TIMEOUT_S,
            max_response_bytes=_MAX_RESPONSE_BYTES,
        )
        deadline = self._environment.clock.monotonic() + _PROBE_TIMEOUT_S
        request = HttpRequest(
            method='GET', path=spec.health_path, headers=HTTPHeaders({'Host': entry.address})
        )
        try:
            await connection.connect(deadline=deadline)
            response = await connection.exchange(request, deadline=deadline)
        except ExchangeError:
            self._environment.metrics.count('target_probes_failed')
            return None
        finally:
            connection.close()
        return self._codec.decode_health(response, entry=entry)
