"""Conditional writes whose outcome is found out when the store's answer is lost."""

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
_FIRST_WAIT_S = 0.1
_LONGEST_WAIT_S = 2.0
_READ_BACKS = 6


class SettledWrite:
    """Writes values that carry a random ``mark`` and reads back after a lost answer.

    The value in the store tells by its mark whether it is the one that was written. The write is
    sent again only after the object was seen at the version that the write is conditional on;
    a first write that is still under way then excludes the second one, or is excluded by it, so
    at most one of them takes effect::

        write = SettledWrite(environment=environment, store=store)
        version = await write.write('record', value=value, version=found.version)

    :param read_backs: how often the object is read back before the outcome stays unknown.
    """

    __slots__ = ('_environment', '_read_backs', '_store')

    def __init__(
        self, *, environment: Environment, store: Store, read_backs: int = _READ_BACKS
    ) -> None:
        self._environment = environment
        self._store = store
        self._read_backs = read_backs

    async def write(self, name: str, *, value: dict[str, Any], version: int) -> int:
        """Write ``value`` with a new mark if the object is at ``version``, 0 to create it.

        :raises StoreConflictError: if the write did not take effect because of another one.
        :raises StoreUnavailableError: if it did not take effect because the store took no call.
        :raises StoreOutcomeUnknownError: if the store could not be read back in time, or the
            object has changed more than once since, so that the mark may have been overwritten.
        """
        marked = {**value, _MARK: secrets.token_hex(_MARK_BYTES)}
        try:
            return await self._store.write(name, value=marked, version=version)
        except StoreOutcomeUnknownError as error:
            self._environment.metrics.count('store_writes_read_back')
            self._environment.log.event('store_write_unsettled', object=name, reason=error)
        return await self._settle(name, marked=marked, version=version)

    async def _settle(self, name: str, *, marked: dict[str, Any], version: int) -> int:
        wait_s = _FIRST_WAIT_S
        for _ in range(self._read_backs):
            await asyncio.sleep(wait_s)
            wait_s = min(_LONGEST_WAIT_S, wait_s * 2)
            try:
                found = await self._store.read(name)
            except StoreError:
                continue
            settled = _settled_version(name, found=found, marked=marked, version=version)
            if settled:
                return settled
            # A conflict here may come from the first write; the next read tells.
            with suppress(StoreUnavailableError, StoreOutcomeUnknownError, StoreConflictError):
                return await self._store.write(name, value=marked, version=version)
        raise StoreOutcomeUnknownError(f'{name} could not be read back')


def _settled_version(
    name: str, *, found: StoredObject | None, marked: dict[str, Any], version: int
) -> int:
    """Return the version that the write made, 0 if it has not taken effect so far."""
    if found is None or found.version == version:
        return 0
    if isinstance(found.value, dict) and found.value.get(_MARK) == marked[_MARK]:
        return found.version
    if found.version == version + 1:
        raise StoreConflictError(name=name, version=found.version)
    raise StoreOutcomeUnknownError(
        f'{name} went from version {version} to {found.version} before it was read back'
    )
