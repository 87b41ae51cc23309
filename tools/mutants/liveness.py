"""Mechanisms that find targets without power."""

from tools.mutant import Mutant

_FEATURE = 'features/liveness.feature'

LIVENESS = (
    Mutant(
        mechanism='the silence allowed to a target follows from its requests',
        file='src/balsamrail/placement/target_state.py',
        old='max_silence_s=min(max(_MIN_SILENCE_S, aim_s * silence_ratio), _MAX_SILENCE_S),',
        new='max_silence_s=_MIN_SILENCE_S,',
        feature=_FEATURE,
        scenario='Normal runs cause no probes',
    ),
    Mutant(
        mechanism='the silence allowed to a target is bounded',
        file='src/balsamrail/placement/target_state.py',
        old='max_silence_s=min(max(_MIN_SILENCE_S, aim_s * silence_ratio), _MAX_SILENCE_S),',
        new='max_silence_s=max(_MIN_SILENCE_S, aim_s * silence_ratio),',
        feature=_FEATURE,
        scenario='The time until a target without power is probed',
    ),
    Mutant(
        mechanism='a silent target makes those of its zone suspect',
        file='src/balsamrail/placement/probe_schedule.py',
        old='.entry.availability_zone] = now + _SUSPICION_S',
        new='.entry.availability_zone] = now',
        feature=_FEATURE,
        scenario='The silence of one target makes those of its zone suspect',
    ),
    Mutant(
        mechanism='a target that passes its probes is probed less often',
        file='src/balsamrail/placement/probe_schedule.py',
        old='interval_s = min(_MAX_PROBE_INTERVAL_S, state.silent_s(now=now))',
        new='interval_s = 0.4',
        feature=_FEATURE,
        scenario='A target that passes its probes',
    ),
    Mutant(
        mechanism='a response during a probe shows that the target works',
        file='src/balsamrail/delivery/liveness_checker.py',
        old='elif state.in_flight and state.last_response_at <= began:',
        new='else:',
        feature=_FEATURE,
        scenario='A response during a probe',
    ),
    Mutant(
        mechanism='a response without a length is incomplete if this host closed its connection',
        file='src/balsamrail/delivery/http_connection.py',
        old="self._stream.close(exc_info=ConnectionAbortedError('closed by this host'))",
        new='self._stream.close()',
        feature='features/delivery.feature',
        scenario='A response without a length whose target falls silent',
    ),
)
