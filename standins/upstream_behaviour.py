"""How the stand-in of an upstream behaves."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class UpstreamBehaviour:
    """Set through ``POST /behaviour``; fields that are left out of a post keep their value.

    At most ``slots`` requests execute at once, ``queue`` more wait, others get
    ``refusal_status``. For ``cold_s`` seconds after the start each takes ``cold_factor`` times as
    long. ``state`` is ``live``, ``leaving`` or ``starting``; it does not refuse requests unless
    ``refuse_unless_live`` is set. ``/health`` shows what was true ``health_lag_s`` ago, and
    ``health_state`` and ``health_in_flight`` in its place if they are set.

    A request whose path or body contains ``crash_marker`` ends the process while it executes.
    The next ``late_next`` answers come ``late_s`` late, ``cut_next`` and ``cut_chunked_next``
    end before their last byte, ``crossed_next`` carry the body and ``Request-Id`` of the request
    before, and ``drop_next`` are lost after the execution. ``silence_open`` makes the connections
    that are open at the time of the post silent for good.
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

    def take(self, name: str) -> bool:
        """Take one from a ``_next`` field and return whether there was one."""
        left: int = getattr(self, name)
        if left > 0:
            setattr(self, name, left - 1)
        return left > 0
