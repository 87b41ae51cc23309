"""Mechanisms against bytes that are no answer and come without end."""

from tools.mutant import Mutant

_FEATURE = 'features/endless_bytes.feature'

ENDLESS_BYTES = (
    Mutant(
        mechanism='answers of other requests are passed over a few times only',
        file='src/balsamrail/delivery/http_connection.py',
        old='for _ in range(_MOST_PASSED_OVER + 1):',
        new='for _ in range(30_000):',
        feature=_FEATURE,
        scenario='A target sends answers of another request at once',
    ),
    Mutant(
        mechanism='an exchange ends at its deadline, however slowly bytes come',
        file='src/balsamrail/delivery/http_connection.py',
        old='async with asyncio.timeout_at(deadline):',
        new='async with asyncio.timeout_at(deadline + 2):',
        feature=_FEATURE,
        scenario='A target sends a status line byte by byte',
    ),
    Mutant(
        mechanism='small pieces of a body are not kept as objects',
        file='src/balsamrail/exchange/answer_parts.py',
        old='self._body += chunk',
        new="self._body += chunk; self.__dict__.setdefault('pieces', []).append(chunk)",
        feature=_FEATURE,
        scenario='A body of small pieces',
    ),
    Mutant(
        mechanism='unfinished answers together take a bounded memory',
        file='src/balsamrail/exchange/answer_memory.py',
        old='while self.used_bytes > self.limit_bytes:',
        new='while False:',
        feature=_FEATURE,
        scenario='Several endless answers at once',
    ),
    Mutant(
        mechanism='the largest unfinished answer is cut off, not a small one',
        file='src/balsamrail/exchange/answer_memory.py',
        old='largest = max(self._open, key=lambda each: each.received_bytes)',
        new='largest = min(self._open, key=lambda each: each.received_bytes)',
        feature=_FEATURE,
        scenario='Several endless answers at once',
    ),
    Mutant(
        mechanism='an error does not keep the body of its answer',
        file='src/balsamrail/exchange/answer_parts.py',
        old='self._body = bytearray()\n\n    def body',
        new='pass\n\n    def body',
        feature=_FEATURE,
        scenario='Several endless answers at once',
    ),
    Mutant(
        mechanism="a node's upstreams share the bound on unfinished answers",
        file='src/balsamrail/forwarding/upstream_connection.py',
        old='self._stream.begin_answer(self._environment)',
        new='pass',
        feature=_FEATURE,
        scenario='Several endless answers to a node',
    ),
    Mutant(
        mechanism='bytes on an idle connection close it at once',
        file='src/balsamrail/exchange/upstream_stream.py',
        old='        if self._receipt is None:\n            self._close_stray(self._environment)',
        new='        if self._receipt is None:\n            pass',
        feature=_FEATURE,
        scenario='Bytes beyond a whole answer, at once',
    ),
    Mutant(
        mechanism='bytes after an answer close its connection and are counted',
        file='src/balsamrail/exchange/upstream_stream.py',
        old='        if waits and self._environment is not None:\n',
        new='        if False:\n',
        feature=_FEATURE,
        scenario='Bytes beyond a whole answer, at once',
    ),
    Mutant(
        mechanism='a health check ends at its deadline, however slowly bytes come',
        file='src/balsamrail/delivery/reviver.py',
        old='deadline = self._environment.clock.monotonic() + _TIMEOUT_S',
        new='deadline = self._environment.clock.monotonic() + 60',
        feature=_FEATURE,
        scenario='A health answer of a status line byte by byte',
    ),
    Mutant(
        mechanism='a call to the store ends at its deadline, however slowly bytes come',
        file='src/balsamrail/platform/object_store.py',
        old='answer = await connection.exchange(request, deadline=deadline)',
        new='answer = await connection.exchange(request, deadline=deadline + 3)',
        feature=_FEATURE,
        scenario='The store answers a list with a header field byte by byte',
    ),
    Mutant(
        mechanism="a node's attempt ends at its deadline, however slowly bytes come",
        file='src/balsamrail/forwarding/upstream_connection.py',
        old='async with asyncio.timeout_at(deadline):',
        new='async with asyncio.timeout_at(deadline + 3):',
        feature=_FEATURE,
        scenario="A node's upstream sends a status line byte by byte",
    ),
)
