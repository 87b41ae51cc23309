"""Handles state that targets announce in response headers."""

from balsamrail.delivery.limit_reports import LimitReports
from balsamrail.environment import Environment
from balsamrail.placement.target_notice import TargetNotice
from balsamrail.placement.target_state import TargetState

# Concurrent requests get refusals that end at nearly the same time. A refusal is logged again only
# if it extends the previous end by at least this many seconds.
_MIN_LOGGED_EXTENSION_S = 1.0


class NoticeHandler:
    """Records what targets announce, and logs each change.

    A target may be leaving, refuse requests for a time, or name the request rate that it takes.

    :param limit_reports: tells the other hosts of the rates that targets name.
    """

    __slots__ = ('_environment', '_limit_reports')

    def __init__(self, *, environment: Environment, limit_reports: LimitReports) -> None:
        self._environment = environment
        self._limit_reports = limit_reports

    def handle(self, state: TargetState, notice: TargetNotice) -> None:
        """Record the state that a target announced in a response."""
        if notice.is_leaving:
            self._handle_leaving(state)
        if notice.refuses_for_s is not None:
            self._handle_refusal(state, notice.refuses_for_s)
        if notice.invalid_retry_after:
            self._environment.metrics.count('target_refusals_unreadable')
            self._log_unreadable('target_refusal_unreadable', state, notice.invalid_retry_after)

        self._handle_limit(state, notice)

    def _handle_limit(self, state: TargetState, notice: TargetNotice) -> None:
        if notice.limit_per_s is not None:
            state.availability.note_limit(notice.limit_per_s, now=self._now())
            self._limit_reports.publish(state)
        elif notice.has_no_limit and state.availability.note_no_limit(now=self._now()):
            self._limit_reports.publish(state)
        if state.availability.note_invalid_limit(notice.invalid_limit):
            self._environment.metrics.count('target_limits_unreadable')
            self._log_unreadable('target_limit_unreadable', state, notice.invalid_limit)

    def _log_unreadable(self, event: str, state: TargetState, text: str) -> None:
        self._environment.log.event(
            event,
            target=state.entry.target_id,
            born_ms=state.entry.born_ms,
            value=text,
        )

    def _handle_leaving(self, state: TargetState) -> None:
        if not state.availability.note_leaving(now=self._now()):
            return
        self._environment.metrics.count('targets_said_leaving')
        self._environment.log.event(
            'target_leaving',
            target=state.entry.target_id,
            born_ms=state.entry.born_ms,
            in_flight=state.in_flight,
        )

    def _handle_refusal(self, state: TargetState, for_s: float) -> None:
        now = self._now()
        was_refusing = now < state.availability.refusing_until
        extended_s = state.availability.note_refusal(for_s, now=now)
        if extended_s <= 0 or (was_refusing and extended_s < _MIN_LOGGED_EXTENSION_S):
            return
        self._environment.metrics.count('target_refusals')
        self._environment.log.event(
            'target_refusing',
            target=state.entry.target_id,
            born_ms=state.entry.born_ms,
            for_s=for_s,
            in_flight=state.in_flight,
        )

    def _now(self) -> float:
        return self._environment.clock.monotonic()
