"""Mechanisms for callers that send requests before earlier ones are answered."""

from tools.mutant import Mutant

_FEATURE = 'features/pipelining.feature'
_STREAM = 'src/balsamrail/exchange/caller_stream.py'
_EXCHANGE = 'src/balsamrail/platform/caller_exchange.py'

PIPELINING = (
    Mutant(
        mechanism='a caller that leaves is noticed while requests are buffered',
        file=_STREAM,
        old='if is_in_progress and not self.closed() and self._read_buffer_size < _READ_AHEAD_BYTES:',
        new='if False:',
        feature=_FEATURE,
        scenario='A caller leaves with several requests',
    ),
    Mutant(
        mechanism='the bytes read ahead are bounded',
        file=_STREAM,
        old='if is_in_progress and not self.closed() and self._read_buffer_size < _READ_AHEAD_BYTES:',
        new='if is_in_progress and not self.closed():',
        feature=_FEATURE,
        scenario='The bytes behind a request in progress',
    ),
    Mutant(
        mechanism='the time budget runs while a request waits behind another one',
        file='src/balsamrail/platform/caller_codec.py',
        old='arrived_at=stream.consumed_at(),',
        new='arrived_at=stream.io_loop.time(),',
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
        file=_EXCHANGE,
        old='if self._stream.closed() or self._stream.is_finished:',
        new='if self._stream.is_finished:',
        feature=_FEATURE,
        scenario='A caller leaves with several requests',
    ),
    Mutant(
        mechanism='requests behind a response that closes the connection are not handled',
        file=_EXCHANGE,
        old='if self._stream.closed() or self._stream.is_finished:',
        new='if self._stream.closed():',
        feature=_FEATURE,
        scenario='Requests behind a response that closes',
    ),
    Mutant(
        mechanism='a connection ends after a response that closes it',
        file=_EXCHANGE,
        old='            self._stream.finish()\n',
        new='            pass\n',
        feature=_FEATURE,
        scenario='Requests behind one that is too large',
    ),
    Mutant(
        mechanism='idempotent requests of a connection run at the same time',
        file=_EXCHANGE,
        old='        return timeout_s is not None and timeout_s <= longest_s',
        new='        return False and timeout_s is not None and timeout_s <= longest_s',
        feature='features/pipelining.feature',
        scenario='Idempotent requests of one connection run at the same time',
    ),
    Mutant(
        mechanism='a request that is not idempotent runs alone on its connection',
        file='src/balsamrail/exchange/response_queue.py',
        old='are_concurrent = is_concurrent and all(turn.is_concurrent for turn in self._turns)',
        new='are_concurrent = True',
        feature='features/pipelining.feature',
        scenario='A request that is not idempotent waits for those before it',
    ),
    Mutant(
        mechanism='few requests of a connection run at the same time',
        file='src/balsamrail/exchange/response_queue.py',
        old='_MAX_CONCURRENT = 8',
        new='_MAX_CONCURRENT = 80',
        feature='features/pipelining.feature',
        scenario='A caller leaves while several of its requests run',
    ),
    Mutant(
        mechanism='only the last response of a stopping host closes its connection',
        file=_EXCHANGE,
        old='is_last = self._turn.is_latest() and (',
        new='is_last = (',
        feature='features/pipelining.feature',
        scenario='Requests that run when a host begins to stop are answered',
    ),
)
