"""Runs each idempotency key at most once."""

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

# Covers the headers and the objects of a kept answer beside its body.
_ANSWER_OVERHEAD_BYTES = 1_024
_TABLE_FULL_RETRY_AFTER_S = 5
_STALE_ENTRY_ALLOWANCE = 1_024


class KeyTable:
    """Records of the keys that this incarnation executes.

    A record lives until its key expires, so a resend finds it. Memory is bounded by the number of
    records, where a full table refuses new keys, and by the bytes of kept answers, where the
    oldest answers are dropped and only the fact that the key ran stays.
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
        # In the order in which the runs ended, so the oldest is first.
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
        """Run a request, or return what its first run returned.

        The run goes on if the caller is cancelled. If ``run`` raises an error whose outcome is
        ``not_run`` or ``refused``, the record is removed, so the key may be sent again.

        :param expiry_wall_s: wall time in seconds from which on the key never runs.
        :param fingerprint: tells requests apart that were given the same key by mistake.
        :raises OutcomeUnknownError: if the key expired, or its run may have taken effect.
        :raises AnswerDroppedError: if it ran and the answer is no longer kept.
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
        """Return the wall time in seconds at which a record expires, ``None`` if there is none."""
        record = self._record_by_key.get(key)
        return None if record is None else record.expiry_wall_s

    def in_flight(self) -> int:
        """Return how many runs are not finished."""
        return self._in_flight

    def dump(self) -> dict[str, Any]:
        """Return how many records and kept bytes there are."""
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
                detail='the host holds as many idempotency keys as it can',
                retry_after_s=_TABLE_FULL_RETRY_AFTER_S,
            )
        record = KeyRecord(fingerprint=fingerprint, expiry_wall_s=expiry_wall_s)
        self._record_by_key[key] = record
        heapq.heappush(self._expiries, (expiry_wall_s, key))
        # The run is a task of its own: the caller's going away does not cancel it.
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
            raise OutcomeUnknownError(detail='the run ended without an answer')
        finally:
            self._in_flight -= 1
            # A finished task would hold the answer beyond the limit on kept bytes.
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
        # Runs that did not take place leave their entries behind.
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
        raise AnswerDroppedError(detail='the request ran, but its answer is no longer kept')
    return record.response
