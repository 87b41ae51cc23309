"""Reports between hosts of the request rates that targets name."""

import asyncio
import math
from collections import OrderedDict

from balsamrail.environment import Environment
from balsamrail.membership.network import Network
from balsamrail.messages import TargetLimitReport
from balsamrail.placement.target_availability import MIN_LIMIT_AGE_S
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_state import TargetState

# A smaller change of a limit, as a fraction of it, is not reported: hosts with a share hear it anyway.
_MIN_CHANGE = 0.2
_MIN_INTERVAL_S = 1.0
_MAX_TARGETS = 2_048


class LimitReports:
    """Tells all hosts when a target names a limit, another one or none any more.

    A host that a target has not answered yet would send it requests that it cannot take. One that
    has no share of the limit gets no answers, and would not hear of its end. What the other hosts
    have been told already, by any host, is not reported again.

    :param target_registry: the states to which reports of other hosts are applied.
    """

    __slots__ = ('_environment', '_known_by_target', '_network', '_target_registry')

    def __init__(
        self, *, environment: Environment, network: Network, target_registry: TargetRegistry
    ) -> None:
        self._environment = environment
        self._network = network
        self._target_registry = target_registry
        # The last report on each target, with the event loop time at which it was sent or received.
        self._known_by_target: OrderedDict[str, tuple[TargetLimitReport, float]] = OrderedDict()
        network.subscribe(TargetLimitReport, self._on_report)

    def publish(self, state: TargetState) -> None:
        """Report the limit of a target, or its end, unless the other hosts know it."""
        limit = state.availability.limit
        report = TargetLimitReport(
            host=self._environment.settings.host,
            target=state.entry.target_id,
            born_ms=state.entry.born_ms,
            is_limited=limit is not None,
            per_s=0 if limit is None else limit.per_s,
            wall_s=self._environment.clock.wall(),
        )
        if self._is_known(report):
            return
        self._remember(report)
        self._network.flood(
            report, topic=f'limit/{report.host}/{report.target}', version=(report.wall_s,)
        )
        self._log(report, source='response')

    def _is_known(self, report: TargetLimitReport) -> bool:
        known = self._known_by_target.get(report.target)
        if known is None or known[0].born_ms != report.born_ms:
            return not report.is_limited
        last, told_at = known
        is_recent = self._environment.clock.monotonic() - told_at < _MIN_INTERVAL_S
        if last.is_limited != report.is_limited:
            # A limit is named again by the next response, but its end is noticed only once.
            return report.is_limited and is_recent
        is_similar = abs(report.per_s - last.per_s) <= _MIN_CHANGE * last.per_s
        return is_similar or is_recent

    def _on_report(self, host: str, report: TargetLimitReport) -> None:
        if not math.isfinite(report.per_s) or report.per_s < 0:
            return
        self._remember(report)
        state = self._target_registry.state_of(report.target)
        if state is None or state.entry.born_ms != report.born_ms:
            return
        if report.is_limited:
            now = self._environment.clock.monotonic()
            state.availability.note_limit(report.per_s, now=now, is_reported=True)
            self._log(report, source=report.host)
        else:
            self._end_limit(state, report)
            # A response that named the limit just before must not outweigh the report for good.
            asyncio.get_running_loop().call_later(MIN_LIMIT_AGE_S, self._end_limit, state, report)

    def _end_limit(self, state: TargetState, report: TargetLimitReport) -> None:
        known = self._known_by_target.get(report.target)
        is_latest = known is not None and known[0] is report
        now = self._environment.clock.monotonic()
        if is_latest and state.availability.note_no_limit(now=now):
            self._log(report, source=report.host)

    def _remember(self, report: TargetLimitReport) -> None:
        self._known_by_target[report.target] = (report, self._environment.clock.monotonic())
        self._known_by_target.move_to_end(report.target)
        if len(self._known_by_target) > _MAX_TARGETS:
            self._known_by_target.popitem(last=False)

    def _log(self, report: TargetLimitReport, *, source: str) -> None:
        event = 'target_limited' if report.is_limited else 'target_limit_ended'
        self._environment.metrics.count(event)
        self._environment.log.event(
            event,
            target=report.target,
            born_ms=report.born_ms,
            per_s=report.per_s,
            source=source,
        )
