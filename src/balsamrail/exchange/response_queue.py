"""Order of the responses on one connection, whose requests may run concurrently."""

import asyncio
from collections import deque

# Callers that send more requests ahead wait until earlier ones are answered.
_MAX_CONCURRENT = 8


class ResponseTurn:
    """The place of one response among those of its connection.

    :param is_concurrent: whether the request may run while others of the connection do.
    """

    __slots__ = ('_ended', '_previous', '_queue', 'is_concurrent')

    def __init__(
        self, *, queue: 'ResponseQueue', previous: 'ResponseTurn | None', is_concurrent: bool
    ) -> None:
        self._queue = queue
        self._previous = previous
        self._ended = asyncio.Event()
        self.is_concurrent = is_concurrent

    async def wait(self) -> None:
        """Wait until the responses to all earlier requests have been written."""
        if self._previous is not None:
            await self._previous.wait_for_end()
            self._previous = None

    async def wait_for_end(self) -> None:
        """Wait until this response has been written, and all earlier ones."""
        await self._ended.wait()
        await self.wait()

    def is_latest(self) -> bool:
        """Return whether no later request of the connection is being handled."""
        return self._queue.latest is self

    def end(self) -> None:
        """Give way to the next response, after this one has been written or given up."""
        self._ended.set()
        self._queue.remove(self)


class ResponseQueue:
    """Lets the idempotent requests of a connection run concurrently, and keeps their responses in order.

    A request that is not idempotent runs alone, so that it is neither sent before the response to
    an earlier request nor overtaken::

        queue = ResponseQueue()
        await queue.wait_for_room(is_concurrent=True)
        turn = queue.join(is_concurrent=True)
        response = await run()
        await turn.wait()
        write(response)
        turn.end()
    """

    __slots__ = ('_has_changed', '_turns')

    def __init__(self) -> None:
        self._turns: deque[ResponseTurn] = deque()
        self._has_changed = asyncio.Event()

    @property
    def latest(self) -> ResponseTurn | None:
        """The last request that is being handled, ``None`` if there is none."""
        return self._turns[-1] if self._turns else None

    def has_room(self, *, is_concurrent: bool) -> bool:
        """Return whether a further request may run now."""
        if not self._turns:
            return True
        are_concurrent = is_concurrent and all(turn.is_concurrent for turn in self._turns)
        return are_concurrent and len(self._turns) < _MAX_CONCURRENT

    async def wait_for_room(self, *, is_concurrent: bool) -> None:
        """Wait until a further request may run."""
        while not self.has_room(is_concurrent=is_concurrent):
            self._has_changed.clear()
            await self._has_changed.wait()

    def join(self, *, is_concurrent: bool) -> ResponseTurn:
        """Return the turn of a request that is about to run."""
        turn = ResponseTurn(queue=self, previous=self.latest, is_concurrent=is_concurrent)
        self._turns.append(turn)
        return turn

    def remove(self, turn: ResponseTurn) -> None:
        """Remove a turn that has ended."""
        if turn in self._turns:
            self._turns.remove(turn)
            self._has_changed.set()
