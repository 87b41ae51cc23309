"""Mechanisms for callers that send requests before earlier ones are answered."""

from tools.mutant import Mutant

_FEATURE = 'features/pipelining.feature'
_STREAM = 'src/balsamrail/exchange/caller_stream.py'
_SERVER = 'src/balsamrail/platform/caller_server.py'

PIPELINING = (
    Mutant(
        mechanism='a caller that leaves is noticed while requests are buffered',
        file=_STREAM,
        old='if is_in_progress and self._read_buffer_size < _READ_AHEAD_BYTES:',
        new='if False:',
        feature=_FEATURE,
        scenario='A caller leaves with several requests',
    ),
    Mutant(
        mechanism='the bytes read ahead are bounded',
        file=_STREAM,
        old='if is_in_progress and self._read_buffer_size < _READ_AHEAD_BYTES:',
        new='if is_in_progress:',
        feature=_FEATURE,
        scenario='The bytes behind a request in progress',
    ),
    Mutant(
        mechanism='the time budget runs while a request waits behind another one',
        file=_SERVER,
        old='arrived_at=self._stream.consumed_at(),',
        new='arrived_at=self._server.environment.clock.monotonic(),',
        feature=_FEATURE,
        scenario='The time budget runs while a request waits',
    ),
    Mutant(
        mechanism='arrival times belong to the processed bytes',
        file=_STREAM,
        old='while len(self._arrivals) > 1 and self._arrivals[0][0] < consumed_bytes:',
        new='while len(self._arrivals) > 1:',
        feature=_FEATURE,
        scenario='The time budget runs while a request waits',
    ),
    Mutant(
        mechanism='requests of callers that have left are not handled',
        file=_SERVER,
        old='if stream.closed() or stream.is_finished:',
        new='if stream.is_finished:',
        feature=_FEATURE,
        scenario='A caller leaves with several requests',
    ),
    Mutant(
        mechanism='requests behind a response that closes the connection are not handled',
        file=_SERVER,
        old='if stream.closed() or stream.is_finished:',
        new='if stream.closed():',
        feature=_FEATURE,
        scenario='Requests behind a response that closes',
    ),
    Mutant(
        mechanism='a connection ends after a response that closes it',
        file=_SERVER,
        old='            self._stream.finish()\n',
        new='            pass\n',
        feature=_FEATURE,
        scenario='Requests behind one that is too large',
    ),
)
