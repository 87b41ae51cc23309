"""Configurable behaviour of the upstream stand-in."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class UpstreamBehaviour:
    """Set through ``POST /behaviour``; omitted fields keep their values.

    At most ``slots`` requests execute concurrently, ``queue`` more wait, and the rest are refused
    with ``refusal_status``. For ``cold_s`` seconds after the start, each execution takes
    ``cold_factor`` times as long. ``state`` is ``live``, ``leaving`` or ``starting``; requests are
    only refused in the latter two if ``refuse_unless_live`` is set. ``/health`` reports the state
    of ``health_lag_s`` seconds ago, overridden by ``health_state`` and ``health_in_flight`` if
    set.

    A request whose path or body contains ``crash_marker`` ends the process during its execution.
    The next ``late_next`` responses are delayed by ``late_s``, the next ``cut_next`` and
    ``cut_chunked_next`` are truncated, the next ``crossed_next`` have the body and ``Request-Id``
    of the previous request, and the next ``drop_next`` are lost after the execution.
    ``silence_open`` stops all responses on connections that are open when it is posted.
    """

    service_time_s: float = 0.02
    slots: int = 4
    queue: int = 2
    refusal_status: int = 503
    cold_s: float = 0
    cold_factor: float = 4
    answer_bytes: int = 0
    state: str = 'live'
    refuse_unless_live: bool = False
    health_lag_s: float = 0
    health_state: str = ''
    health_in_flight: int = -1
    crash_marker: str = ''
    late_next: int = 0
    late_s: float = 1
    cut_next: int = 0
    cut_chunked_next: int = 0
    crossed_next: int = 0
    drop_next: int = 0
    silence_open: bool = False

    def consume(self, name: str) -> bool:
        """Decrement a ``_next`` field; return whether it was above zero."""
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0
