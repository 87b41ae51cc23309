"""Deduplicates requests by idempotency key."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import (
    AnswerDroppedError,
    KeyInvalidError,
    OutcomeUnknownError,
    OverloadedError,
    RequestError,
)
from balsamrail.exchange.response import Response
from balsamrail.forwarding.key_record import KeyRecord
from balsamrail.forwarding.task_exceptions import mark_exception_retrieved

# Estimated size of a cached response besides its body: headers and objects.
_ANSWER_OVERHEAD_BYTES = 1_024
_TABLE_FULL_RETRY_AFTER_S = 5
_STALE_ENTRY_ALLOWANCE = 1_024


class KeyTable:
    """Holds the records of the keys that this incarnation executes.

    A record exists until its key expires, so that a resend finds it. Memory is bounded in two
    ways: a table with the maximum number of records rejects new keys, and when the cached
    responses exceed their byte limit, the oldest are evicted while their records remain.
    """

    __slots__ = (
        '_cached_bytes',
        '_environment',
        '_expiries',
        '_in_flight',
        '_record_by_key',
        '_size_by_cached_key',
    )

    def __init__(self, *, environment: Environment) -> None:
        self._environment = environment
        self._record_by_key: dict[str, KeyRecord] = {}
        self._expiries: list[tuple[float, str]] = []
        # Ordered by the end of the run, oldest first.
        self._size_by_cached_key: dict[str, int] = {}
        self._cached_bytes = 0
        self._in_flight = 0

    async def run_once(
        self,
        key: str,
        *,
        expiry_wall_s: float,
        fingerprint: bytes,
        run: Callable[[], Awaitable[Response]],
    ) -> Response:
        """Run a request, or return the response of its first run.

        The run continues if the caller is cancelled. If ``run`` raises an error whose outcome is
        ``not_run`` or ``refused``, the record is removed, so that the key may be retried.

        :param expiry_wall_s: wall time in seconds after which the key is never run.
        :param fingerprint: detects different requests that share a key by mistake.
        :raises OutcomeUnknownError: if the key expired, or its run may have taken effect.
        :raises AnswerDroppedError: if it ran and its response was evicted.
        :raises KeyInvalidError: if the key belongs to another request.
        :raises OverloadedError: if the table is full.
        """
        if self._environment.clock.wall() >= expiry_wall_s:
            raise OutcomeUnknownError(detail='the idempotency key has expired')
        record = self._record_by_key.get(key)
        if record is None:
            record = self._start(key, expiry_wall_s, fingerprint, run)
        elif record.fingerprint != fingerprint:
            raise KeyInvalidError(detail='the idempotency key was used for another request')
        return await _outcome(record)

    def expiry_of(self, key: str) -> float | None:
        """Return the wall time in seconds at which a key expires, ``None`` if it has no record."""
        record = self._record_by_key.get(key)
        return None if record is None else record.expiry_wall_s

    def in_flight(self) -> int:
        """Return the number of unfinished runs."""
        return self._in_flight

    def dump(self) -> dict[str, Any]:
        """Return the number of records, cached responses and cached bytes."""
        return {
            'records': len(self._record_by_key),
            'kept_answers': len(self._size_by_cached_key),
            'kept_bytes': self._cached_bytes,
        }

    def _start(
        self,
        key: str,
        expiry_wall_s: float,
        fingerprint: bytes,
        run: Callable[[], Awaitable[Response]],
    ) -> KeyRecord:
        self._expire()
        if len(self._record_by_key) >= self._environment.settings.limits.kept_keys:
            raise OverloadedError(
                detail='the host holds the maximum number of idempotency keys',
                retry_after_s=_TABLE_FULL_RETRY_AFTER_S,
            )
        record = KeyRecord(fingerprint=fingerprint, expiry_wall_s=expiry_wall_s)
        self._record_by_key[key] = record
        heapq.heappush(self._expiries, (expiry_wall_s, key))
        # A separate task, so that a caller that disconnects does not cancel the run.
        record.task = asyncio.create_task(self._run(key, record, run))
        record.task.add_done_callback(mark_exception_retrieved)
        return record

    async def _run(
        self,
        key: str,
        record: KeyRecord,
        run: Callable[[], Awaitable[Response]],
    ) -> Response:
        self._in_flight += 1
        try:
            response = await run()
        except OutcomeUnknownError:
            record.state = 'unknown'
            raise
        except RequestError:
            self._record_by_key.pop(key)
            raise
        except BaseException as error:
            record.state = 'unknown'
            self._environment.log.event('keyed_run_failed', error=repr(error))
            raise OutcomeUnknownError(detail='the run ended without a response')
        finally:
            self._in_flight -= 1
            # A finished task would keep its response alive beyond the limit on cached bytes.
            record.task = None
        record.state = 'done'
        self._cache_response(key, record, response)
        return response

    def _cache_response(self, key: str, record: KeyRecord, response: Response) -> None:
        size = len(response.body) + _ANSWER_OVERHEAD_BYTES
        limit = self._environment.settings.limits.kept_answer_bytes
        if size > limit:
            return
        record.response = response
        self._size_by_cached_key[key] = size
        self._cached_bytes += size
        while self._cached_bytes > limit:
            oldest = next(iter(self._size_by_cached_key))
            self._evict_response(oldest)

    def _evict_response(self, key: str) -> None:
        self._cached_bytes -= self._size_by_cached_key.pop(key, 0)
        self._record_by_key[key].response = None

    def _expire(self) -> None:
        now = self._environment.clock.wall()
        running: list[tuple[float, str]] = []
        while self._expiries and self._expiries[0][0] <= now:
            entry = heapq.heappop(self._expiries)
            record = self._record_by_key.get(entry[1])
            if record is None or record.expiry_wall_s > now:
                continue
            if record.state == 'in_flight':
                running.append(entry)
            else:
                self._evict_response(entry[1])
                self._record_by_key.pop(entry[1])
        for entry in running:
            heapq.heappush(self._expiries, entry)
        if len(self._expiries) > 2 * len(self._record_by_key) + _STALE_ENTRY_ALLOWANCE:
            self._rebuild_expiries()

    def _rebuild_expiries(self) -> None:
        # Records of requests that did not run are removed without their heap entries.
        self._expiries = [
            (record.expiry_wall_s, key) for key, record in self._record_by_key.items()
        ]
        heapq.heapify(self._expiries)


async def _outcome(record: KeyRecord) -> Response:
    if record.task is not None:
        return await asyncio.shield(record.task)
    if record.state == 'unknown':
        raise OutcomeUnknownError(detail='an earlier run of this key has an unknown outcome')
    if record.response is None:
        raise AnswerDroppedError(detail='the request ran, but its response is no longer stored')
    return record.response
