"""One partition of the key space of caller-generated keys, stored as one object."""

import asyncio
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import KeyClaimError, StoreConflictError, StoreError
from balsamrail.store import Store

# A store value holds 1 MB; a claim with a long key takes about 150 bytes.
_MAX_CLAIMS = 5_000
_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.05
# 16 partitions at 10 writes per second use 160 of the several hundred writes per second that the
# store sustains. Without the interval, claims are hardly ever batched: 1.00 writes per booking.
_WRITE_INTERVAL_S = 0.1


class ClaimPartition:
    """Writes the claims of one partition in batches.

    The object maps each key to ``[holder, expiry]``. An existing claim never changes before its
    expiry, so the holder found in a cached copy is final. Claims are idempotent for the same
    holder; a write whose response was lost is therefore retried on the current value.
    """

    __slots__ = (
        '_claim_by_key',
        '_environment',
        '_name',
        '_next_write',
        '_pending_claims',
        '_store',
        '_version',
        '_writer',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        store: Store,
        number: int,
    ) -> None:
        self._environment = environment
        self._store = store
        self._name = f'claims/{number}'
        self._version: int | None = None
        self._next_write: float = 0
        self._claim_by_key: dict[str, tuple[str, float]] = {}
        self._pending_claims: dict[tuple[str, str, float], asyncio.Future[str]] = {}
        self._writer: asyncio.Task[None] | None = None

    async def claim(self, key: str, *, holder: str, expiry_wall_s: float) -> str:
        """Return the current holder of ``key``, which may differ from ``holder``.

        :raises KeyClaimError: if the claim cannot be written, or the partition is full.
        """
        current = self._claim_by_key.get(key)
        if current and current[1] > self._environment.clock.wall():
            return current[0]
        claim = (key, holder, expiry_wall_s)
        future = self._pending_claims.get(claim)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending_claims[claim] = future
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write_pending())
        return await asyncio.shield(future)

    def is_idle(self) -> bool:
        """Return whether no claim is pending."""
        return not self._pending_claims

    async def _write_pending(self) -> None:
        # Yield once so that claims that arrive together share the first write.
        await asyncio.sleep(0)
        while self._pending_claims:
            await asyncio.sleep(self._next_write - self._environment.clock.monotonic())
            self._next_write = self._environment.clock.monotonic() + _WRITE_INTERVAL_S
            batch = dict(self._pending_claims)
            try:
                await self._write_batch(list(batch))
            except StoreError as error:
                self._resolve(batch, error=KeyClaimError(detail=f'claim not written: {error}'))
            except KeyClaimError as error:
                self._resolve(batch, error=error)
            else:
                self._resolve(batch, error=None)

    async def _write_batch(self, batch: list[tuple[str, str, float]]) -> None:
        error: StoreError = StoreError('no attempt was made')
        for _ in range(_MAX_ATTEMPTS):
            if self._version is None:
                await self._read()
            if not self._merge(batch):
                return
            try:
                await self._write()
            except StoreConflictError as conflict:
                error = conflict
            except StoreError as failure:
                self._invalidate_copy()
                error = failure
                await asyncio.sleep(_RETRY_DELAY_S)
                continue
            else:
                return
            self._invalidate_copy()
        raise error

    def _merge(self, batch: list[tuple[str, str, float]]) -> bool:
        """Add the claims that do not exist yet and return whether there were any."""
        now = self._environment.clock.wall()
        live = {key: entry for key, entry in self._claim_by_key.items() if entry[1] > now}
        added = False
        for key, holder, expiry_wall_s in batch:
            if key not in live:
                live[key] = (holder, expiry_wall_s)
                added = True
        if len(live) > _MAX_CLAIMS:
            self._invalidate_copy()
            raise KeyClaimError(detail=f'{self._name} holds {_MAX_CLAIMS} keys', retry_after_s=5)
        self._claim_by_key = live
        return added

    async def _read(self) -> None:
        stored = await self._store.read(self._name)
        self._version = stored.version if stored else 0
        self._claim_by_key = _decode_claims(stored.value) if stored else {}

    async def _write(self) -> None:
        value = {key: list(entry) for key, entry in self._claim_by_key.items()}
        version = self._version or 0
        # Until the write is confirmed, the store may not hold all claims of the copy.
        pending, self._claim_by_key = self._claim_by_key, {}
        self._version = await self._store.write(self._name, value=value, version=version)
        self._claim_by_key = pending
        self._environment.metrics.count('claim_writes')

    def _invalidate_copy(self) -> None:
        self._version = None
        self._claim_by_key = {}

    def _resolve(
        self,
        batch: dict[tuple[str, str, float], asyncio.Future[str]],
        *,
        error: KeyClaimError | None,
    ) -> None:
        for claim, future in batch.items():
            self._pending_claims.pop(claim, None)
            if future.done():
                continue
            if error:
                future.set_exception(error)
            else:
                future.set_result(self._claim_by_key[claim[0]][0])


def _decode_claims(value: Any) -> dict[str, tuple[str, float]]:
    if not isinstance(value, dict):
        raise StoreError('the claims object is not a map')
    try:
        return {key: (str(holder), float(expiry)) for key, (holder, expiry) in value.items()}
    except (TypeError, ValueError) as error:
        raise StoreError(f'malformed claim: {error}') from error
