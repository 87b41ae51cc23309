"""Reasons for which a target is excluded from selection."""

from enum import Enum


class ExclusionReason(Enum):
    """Why a target may not get a request now; the values appear in logs and metrics."""

    # The target announced in a response that it is shutting down.
    leaving = 'leaving'
    # The target is registered as draining in the store.
    draining = 'draining'
    # The target sent a Retry-After that has not expired.
    refusing = 'refusing'
    # The target refused, dropped or did not accept connections.
    down = 'down'
    # The target is warming up, and this host's share of its rate limit is exhausted.
    cold = 'cold'
    # The target named a request rate, and this host's share of it is exhausted.
    limited = 'limited'
    full = 'full'
    # The target would answer the request too late.
    late = 'late'
    # The target is no longer registered, or has restarted under the same id.
    gone = 'gone'
    # The route has since been changed to another service.
    moved = 'moved'
    # The target's availability zone is evacuated.
    evacuated = 'evacuated'
    # The target is outside the allowed regions of the route.
    confined = 'confined'
    # This host is shutting down and may end before the request does.
    host_leaving = 'host_leaving'
