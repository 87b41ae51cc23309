"""One partition of the key space of caller-generated keys, stored as one object."""

import asyncio

from balsamrail.environment import Environment
from balsamrail.errors import KeyClaimError, StoreConflictError, StoreError
from balsamrail.forwarding.stored_claims import StoredClaims, decode_claims, encode_claims
from balsamrail.store import Store
from balsamrail.store.versions import split_version

# A store value holds 1 MB; a claim with a long key takes about 150 bytes.
_MAX_CLAIMS = 5_000
_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.05
_LOST_RETRY_AFTER_S = 30
# 16 partitions at 10 writes per second use 160 of the several hundred writes per second that the
# store sustains. Without the interval, claims are hardly ever batched: 1.00 writes per booking.
_WRITE_INTERVAL_S = 0.1


class ClaimPartition:
    """Writes the claims of one partition in batches.

    The object maps each key to ``[holder, expiry]``. An existing claim never changes before its
    expiry, so the holder found in a cached copy is final. Claims are idempotent for the same
    holder; a write whose response was lost is therefore retried on the current value.

    A store that came back from a copy may lack claims that it acknowledged. Those that this
    partition knows are written again. Any other key without a claim may have been claimed before,
    so it is not claimed until the claims of the earlier era have expired.
    """

    __slots__ = (
        '_claim_by_key',
        '_confirmed_claims',
        '_environment',
        '_lost_at_wall_s',
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
        self._confirmed_claims = StoredClaims(era=0)
        self._lost_at_wall_s: float = 0
        self._pending_claims: dict[tuple[str, str, float], asyncio.Future[str]] = {}
        self._writer: asyncio.Task[None] | None = None

    async def claim(self, key: str, *, holder: str, expiry_wall_s: float) -> str:
        """Return the current holder of ``key``, which may differ from ``holder``.

        :raises KeyClaimError: if the claim cannot be written, the partition is full, or the key
            may have a claim that the store has lost.
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
        """Add the claims that do not exist yet and return whether a write is needed."""
        now = self._environment.clock.wall()
        live = {key: entry for key, entry in self._claim_by_key.items() if entry[1] > now}
        era = split_version(self._version or 0)[0]
        needs_write = self._confirmed_claims.era < era
        for key, holder, expiry_wall_s in batch:
            if self._may_be_lost(expiry_wall_s, now=now):
                continue
            if key not in live:
                live[key] = (holder, expiry_wall_s)
                needs_write = True
        if len(live) > _MAX_CLAIMS:
            self._invalidate_copy()
            raise KeyClaimError(detail=f'{self._name} holds {_MAX_CLAIMS} keys', retry_after_s=5)
        self._claim_by_key = live
        return needs_write

    def _may_be_lost(self, expiry_wall_s: float, *, now: float) -> bool:
        """Return whether the store may have lost a claim that has not expired yet.

        Claims of a key have the same lifetime, so one that was lost expires within it.
        """
        lifetime_s = expiry_wall_s - now
        return self._lost_at_wall_s > 0 and now < self._lost_at_wall_s + lifetime_s

    async def _read(self) -> None:
        stored = await self._store.read(self._name)
        claims = StoredClaims() if stored is None else decode_claims(stored.value)
        self._version = self._store.era.absent_version if stored is None else stored.version
        era = split_version(self._version)[0]
        known = self._confirmed_claims
        is_behind = known.era < era and bool(known.claim_by_key)
        self._claim_by_key = dict(claims.claim_by_key)
        if is_behind:
            self._add_known(known.claim_by_key)
        self._lost_at_wall_s = claims.lost_at_wall_s
        if claims.era < era or (is_behind and stored is None):
            self._lost_at_wall_s = self._store.era.seen_at_wall_s
        elif not is_behind:
            self._confirm(era)

    def _add_known(self, known_by_key: dict[str, tuple[str, float]]) -> None:
        """Add claims that were confirmed in an earlier era; of two, the later one counts."""
        for key, entry in known_by_key.items():
            stored = self._claim_by_key.get(key)
            if stored is None or stored[1] < entry[1]:
                self._claim_by_key[key] = entry

    async def _write(self) -> None:
        version = self._version or 0
        era = split_version(version)[0]
        claims = StoredClaims(
            era=era, lost_at_wall_s=self._lost_at_wall_s, claim_by_key=self._claim_by_key
        )
        # Until the write is confirmed, the store may not hold all claims of the copy.
        pending, self._claim_by_key = self._claim_by_key, {}
        self._version = await self._store.write(
            self._name, value=encode_claims(claims), version=version
        )
        self._claim_by_key = pending
        self._confirm(era)
        self._environment.metrics.count('claim_writes')

    def _confirm(self, era: int) -> None:
        self._confirmed_claims = StoredClaims(era=era, claim_by_key=self._claim_by_key)

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
            entry = self._claim_by_key.get(claim[0])
            if error:
                future.set_exception(error)
            elif entry:
                future.set_result(entry[0])
            else:
                lost = 'the store came back from a copy and may have lost the claim of this key'
                future.set_exception(KeyClaimError(detail=lost, retry_after_s=_LOST_RETRY_AFTER_S))
