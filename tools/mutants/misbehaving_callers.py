"""Mechanisms against callers that exhaust the memory or the descriptors of a host."""

from tools.mutant import Mutant

_FEATURE = 'features/misbehaving_callers.feature'
_LIMITER = 'src/balsamrail/exchange/request_memory_limiter.py'
_CONNECTIONS = 'src/balsamrail/exchange/connection_limiter.py'
_EXCHANGE = 'src/balsamrail/platform/caller_exchange.py'

MISBEHAVING_CALLERS = (
    Mutant(
        mechanism='the memory of incomplete requests is bounded',
        file=_LIMITER,
        old='        if self.used_bytes > self.limit_bytes:\n',
        new='        if False:\n',
        feature=_FEATURE,
        scenario='Callers send bodies one byte short to a path with a route',
    ),
    Mutant(
        mechanism='header fields count as what they take in memory',
        file='src/balsamrail/platform/header_check.py',
        old='held_bytes=sent_bytes + len(sizes) * _FIELD_MEMORY_BYTES',
        new='held_bytes=0',
        feature=_FEATURE,
        scenario='Callers send short header fields to a path with a route',
    ),
    Mutant(
        mechanism='the request that takes most memory for longest is refused',
        file=_LIMITER,
        old='largest = max(self._incomplete, key=byte_seconds, default=None)',
        new='largest = min(self._incomplete, key=byte_seconds, default=None)',
        feature=_FEATURE,
        scenario='A small request arrives while bodies that have stopped take all the memory',
    ),
    Mutant(
        mechanism='larger incomplete headers are cut off before a small request',
        file=_LIMITER,
        old='if owner is not None and self._is_larger(owner, largest):',
        new='if owner is not None and largest is None:',
        feature=_FEATURE,
        scenario='A small request arrives while incomplete headers take all the memory',
    ),
    Mutant(
        mechanism='a complete request is not refused',
        file=_LIMITER,
        old='        self._incomplete.discard(usage)\n        if usage in self._open:\n',
        new='        if usage in self._open:\n',
        feature=_FEATURE,
        scenario='Memory accounting of requests in any order',
    ),
    Mutant(
        mechanism='a body has to arrive at a minimum rate',
        file=_LIMITER,
        old='if age_s > _RATE_GRACE_S and',
        new='if False and',
        feature=_FEATURE,
        scenario='Bodies that arrive slowly',
    ),
    Mutant(
        mechanism='a request that waits behind another one is not slow',
        file=_LIMITER,
        old='age_s = 0 if usage.body_since is None else now - usage.body_since',
        new='age_s = now - (usage.body_since or usage.opened_at)',
        feature=_FEATURE,
        scenario='Bodies that arrive slowly',
    ),
    Mutant(
        mechanism='the log lines about callers that are cut off are bounded',
        file='src/balsamrail/exchange/caller_refusals.py',
        old='if self._unlogged and not is_recent:',
        new='if self._unlogged:',
        feature=_FEATURE,
        scenario='The log of callers that are cut off',
    ),
    Mutant(
        mechanism='small pieces of a body are joined',
        file='src/balsamrail/exchange/body_collector.py',
        old='if len(self._tail) >= _PIECE_BYTES:',
        new='if self._tail:',
        feature=_FEATURE,
        scenario='A body received in small pieces by a host',
    ),
    Mutant(
        mechanism='a large body is written to its target without a copy',
        file='src/balsamrail/delivery/http_connection.py',
        old='    if isinstance(body, LargeBody):\n',
        new=(
            '    if isinstance(body, LargeBody):\n'
            "        body = b''.join(body.pieces)\n"
            '    if isinstance(body, LargeBody):\n'
        ),
        feature=_FEATURE,
        scenario='A single request with a body of 64 MiB on a host of 152 MB',
    ),
    Mutant(
        mechanism='the body of a request whose caller has left is counted',
        file='src/balsamrail/delivery/dispatcher.py',
        old='            usage.retain()\n            task.add_done_callback(lambda _: usage.release())\n',
        new='            pass\n',
        feature=_FEATURE,
        scenario='The body of a request whose caller has left',
    ),
    Mutant(
        mechanism='a rejected caller can read the response while it sends',
        file=_EXCHANGE,
        old='if self._is_concurrent or self._is_rejected:',
        new='if self._is_concurrent:',
        feature=_FEATURE,
        scenario='A rejected caller that still sends',
    ),
    Mutant(
        mechanism='a body without a route is not kept',
        file='src/balsamrail/platform/header_check.py',
        old='        check_route(request)\n',
        new='        pass\n',
        feature=_FEATURE,
        scenario='A rejected caller that still sends',
    ),
    Mutant(
        mechanism="the number of callers' connections is bounded",
        file='src/balsamrail/entry/caller_http_server.py',
        old='        self.connections.add(caller_stream)\n',
        new='',
        feature=_FEATURE,
        scenario='Callers send half a header to a path with a route',
    ),
    Mutant(
        mechanism='the number of connections for pages is bounded',
        file='src/balsamrail/entry/page_http_server.py',
        old='        self._limiter.add(stream)\n',
        new='',
        feature=_FEATURE,
        scenario='Callers send half a header to the readiness address',
    ),
    Mutant(
        mechanism='the connection of a request in progress is not closed',
        file=_CONNECTIONS,
        old='if stream.writing() or not self._is_handling(stream)',
        new='if True',
        feature=_FEATURE,
        scenario='Many idle connections beside a request in progress',
    ),
    Mutant(
        mechanism='callers that read nothing do not keep others out',
        file=_CONNECTIONS,
        old='if stream.writing() or not self._is_handling(stream)',
        new='if not self._is_handling(stream)',
        feature=_FEATURE,
        scenario='Many connections whose callers do not read their responses',
    ),
    Mutant(
        mechanism='pages keep no body',
        file='src/balsamrail/process/page_exchange.py',
        old=(
            "        if headers.get('Content-Length', '').strip('0') "
            "or 'Transfer-Encoding' in headers:\n"
        ),
        new='        self.data_received = [].append\n        if False:\n',
        feature=_FEATURE,
        scenario='Callers send bodies with a length over the limit to the readiness address',
    ),
    Mutant(
        mechanism='the times of arrival of processed bytes are forgotten',
        file='src/balsamrail/exchange/caller_stream.py',
        old='            self._count_undelivered(self._read_buffer_size)\n            self._forget_arrivals()\n',
        new='            self._count_undelivered(self._read_buffer_size)\n',
        feature=_FEATURE,
        scenario='A body that arrives byte by byte',
    ),
    Mutant(
        mechanism='bytes that are not delivered yet are counted',
        file='src/balsamrail/exchange/caller_stream.py',
        old='            self._environment.caller_memory.set_buffered(self, counted)\n',
        new='            pass\n',
        feature=_FEATURE,
        scenario='Headers without end',
    ),
    Mutant(
        mechanism='a header that arrives slowly is not waited for',
        file='src/balsamrail/exchange/header_timeouts.py',
        old='earliest = self._clock.monotonic() - limit_s',
        new='earliest = self._clock.monotonic() - 100 * limit_s',
        feature=_FEATURE,
        scenario='Headers that arrive slowly',
    ),
    Mutant(
        mechanism='an idle connection has no header to wait for',
        file='src/balsamrail/exchange/caller_stream.py',
        old='if self.closed() or self._read_regex is None or not self._read_buffer_size:',
        new='if self.closed() or not self._arrivals:',
        feature=_FEATURE,
        scenario='Headers that arrive slowly',
    ),
    Mutant(
        mechanism='a host that was suspended reads before it closes connections',
        file='src/balsamrail/exchange/header_timeouts.py',
        old='for stream in late & self._overdue:',
        new='for stream in late:',
        feature=_FEATURE,
        scenario='A host is suspended while a header arrives',
    ),
)
