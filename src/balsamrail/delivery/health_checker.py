"""Checks when a failed target can be used again."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterable
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
from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState

_CHECK_INTERVAL_S = 0.25
_PROBE_TIMEOUT_S = 1.0
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 2.0
_MAX_RESPONSE_BYTES = 65_536
# While the paths of this host seem to be lost, so many targets that are down are checked in each interval,
# and so many that are not, also if earlier checks of theirs hang: only one sent after the paths have returned
# shows that they have.
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
    a response of any shows that they are not, and the targets lost with them are checked at once.
    """

    __slots__ = (
        '_backoff_by_id',
        '_catalog',
        '_codec',
        '_environment',
        '_notice_handler',
        '_send_limits',
        '_target_id_by_check',
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
        self._target_id_by_check: dict[asyncio.Task[None], str] = {}
        self._backoff_by_id: dict[str, float] = {}
        target_registry.paths.subscribe(self._recheck_lost)

    async def run(self) -> None:
        """Start due health checks until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            for state in self._due():
                self._start_check(state)

    def _due(self) -> list[TargetState]:
        now = self._environment.clock.monotonic()
        states = self._target_registry.states_by_id.values()
        if not self._target_registry.paths.is_lost():
            checked = set(self._target_id_by_check.values())
            return [
                state
                for state in states
                if state.is_check_due(now=now) and state.entry.target_id not in checked
            ]
        reasons = [(state, state.availability.exclusion_reason(now=now)) for state in states]
        down = (state for state, reason in reasons if reason is ExclusionReason.down)
        sentinels = (state for state, reason in reasons if reason is None)
        return [
            *self._least_checked(down, _CHECKS_IF_LOST),
            *self._least_checked(sentinels, _SENTINELS),
        ]

    def _least_checked(self, states: Iterable[TargetState], count: int) -> list[TargetState]:
        checks_by_id = Counter(self._target_id_by_check.values())
        return sorted(
            states, key=lambda state: (checks_by_id[state.entry.target_id], random.random())
        )[:count]

    def _recheck_lost(self) -> None:
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
            state.check_at = now
            self._start_check(state, delay_s=random.uniform(0, spread_s))

    def dump(self) -> dict[str, Any]:
        """Return the targets that are being checked."""
        return {'checking': sorted(set(self._target_id_by_check.values()))}

    def _start_check(self, state: TargetState, *, delay_s: float = 0) -> None:
        check = asyncio.create_task(self._check(state, delay_s))
        self._target_id_by_check[check] = state.entry.target_id
        check.add_done_callback(self._target_id_by_check.pop)

    async def _check(self, state: TargetState, delay_s: float) -> None:
        """Check a target, unless it named a limit that leaves no room for that."""
        await asyncio.sleep(delay_s)
        sent_at = self._environment.clock.monotonic()
        limiter = self._send_limits.rate_limiter
        if not limiter.allows(state, priority=_CHECK_PRIORITY, now=sent_at):
            return
        limiter.record_sent(state, now=sent_at)
        report = await self._probe(state.entry)
        now = self._environment.clock.monotonic()
        if report is not None:
            state.paths.note_contact(now=now)
            self._notice_handler.handle(state, report.notice)
        is_obsolete = report is None and self._is_regained_since(sent_at)
        # A leaving target is never used again, so its health does not matter.
        if state.availability.leaving_since is None and not is_obsolete:
            self._apply(state, report, now)

    def _is_regained_since(self, sent_at: float) -> bool:
        """Return whether a check was sent over lost paths that have returned since then."""
        paths = self._target_registry.paths
        return paths.was_lost(at=sent_at) and not paths.is_lost()

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
