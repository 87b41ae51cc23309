"""Mechanisms that decide how long idle connections are reused."""

from tools.mutant import Mutant

_FEATURE = 'features/idle_connections.feature'
_LIMITS = 'src/balsamrail/delivery/idle_limits.py'

IDLE_CONNECTIONS = (
    Mutant(
        mechanism='a target that reset a connection gets new ones',
        file=_LIMITS,
        old='return min(limit_s, reset.idle_s * _RESET_FRACTION)',
        new='return limit_s',
        feature=_FEATURE,
        scenario='Targets drop idle connections early',
    ),
    Mutant(
        mechanism='a reset counts at the other targets too',
        file=_LIMITS,
        old='return min(limit_s, _RECENTLY_USED_S) if is_reset_recent else limit_s',
        new='return limit_s',
        feature=_FEATURE,
        scenario='A request on a reused connection is reset',
    ),
    Mutant(
        mechanism='an announced timeout may have been rounded up',
        file=_LIMITS,
        old='least_s = max(0, announced_s - _ROUNDING_S)',
        new='least_s = announced_s',
        feature=_FEATURE,
        scenario='A target announces an idle timeout',
    ),
    Mutant(
        mechanism='requests that are not idempotent keep a distance to the timeout',
        file=_LIMITS,
        old='limit_s = least_s * _FRESH_TIMEOUT_FRACTION',
        new='limit_s = least_s * _TIMEOUT_FRACTION',
        feature=_FEATURE,
        scenario='A target announces an idle timeout',
    ),
    Mutant(
        mechanism='requests that are not idempotent reuse connections',
        file=_LIMITS,
        old='limit_s = least_s * _FRESH_TIMEOUT_FRACTION',
        new='limit_s = _RECENTLY_USED_S',
        feature=_FEATURE,
        scenario='Requests that are not idempotent reuse connections',
    ),
)
