"""Conditional writes whose outcome is determined even if the store's response is lost."""

import asyncio
import secrets
from contextlib import suppress
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import (
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from balsamrail.store.store import Store
from balsamrail.store.stored_object import StoredObject

_MARK = 'mark'
_MARK_BYTES = 16
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_MAX_READ_BACKS = 6


class VerifiedWrite:
    """Tags values with a random ``mark`` and reads the object back after a lost response.

    The mark shows whether the stored value is the one that was written. The write is retried only
    after the object was read at the version that the write is conditional on. A first write that
    is still in progress then conflicts with the retry, so at most one of them takes effect::

        write = VerifiedWrite(environment=environment, store=store)
        version = await write.write('record', value=value, version=found.version)

    :param max_read_backs: the number of reads after which the outcome is reported as unknown.
    """

    __slots__ = ('_environment', '_max_read_backs', '_store')

    def __init__(
        self, *, environment: Environment, store: Store, max_read_backs: int = _MAX_READ_BACKS
    ) -> None:
        self._environment = environment
        self._store = store
        self._max_read_backs = max_read_backs

    async def write(self, name: str, *, value: dict[str, Any], version: int) -> int:
        """Write ``value`` with a new mark if the object is at ``version``, 0 to create it.

        :raises StoreConflictError: if the write did not take effect because of another write.
        :raises StoreUnavailableError: if the write did not take effect because the store did not
            accept the call.
        :raises StoreOutcomeUnknownError: if the object could not be read back in time, or has
            changed more than once since, so that the mark may have been overwritten.
        """
        marked = {**value, _MARK: secrets.token_hex(_MARK_BYTES)}
        try:
            return await self._store.write(name, value=marked, version=version)
        except StoreOutcomeUnknownError as error:
            self._environment.metrics.count('store_writes_read_back')
            self._environment.log.event('store_write_unsettled', object=name, reason=error)
        return await self._resolve_outcome(name, marked=marked, version=version)

    async def _resolve_outcome(self, name: str, *, marked: dict[str, Any], version: int) -> int:
        backoff_s = _INITIAL_BACKOFF_S
        for _ in range(self._max_read_backs):
            await asyncio.sleep(backoff_s)
            backoff_s = min(_MAX_BACKOFF_S, backoff_s * 2)
            try:
                found = await self._store.read(name)
            except StoreError:
                continue
            written_version = _written_version(name, found=found, marked=marked, version=version)
            if written_version:
                return written_version
            # The first write may have caused a conflict here; the next read determines the outcome.
            with suppress(StoreUnavailableError, StoreOutcomeUnknownError, StoreConflictError):
                return await self._store.write(name, value=marked, version=version)
        raise StoreOutcomeUnknownError(f'{name} could not be read back')


def _written_version(
    name: str, *, found: StoredObject | None, marked: dict[str, Any], version: int
) -> int:
    """Return the version that the write created, 0 if it has not taken effect yet."""
    if found is None or found.version == version:
        return 0
    if isinstance(found.value, dict) and found.value.get(_MARK) == marked[_MARK]:
        return found.version
    if found.version == version + 1:
        raise StoreConflictError(name=name, version=found.version)
    raise StoreOutcomeUnknownError(
        f'{name} changed from version {version} to {found.version} before it was read back'
    )
