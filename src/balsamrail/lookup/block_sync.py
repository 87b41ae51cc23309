"""Synchronises the block map with the store."""

import asyncio
import base64
import random
from typing import Any

from balsamrail.environment import Environment
from balsamrail.errors import StoreError
from balsamrail.lookup.block_map import BlockMap
from balsamrail.store import Store

_OBJECT_PREFIX = 'blocks/'
_SITES_OBJECT = 'blocks/sites'
# 920 hosts that list the parts every 60 s cause 15 of the 2,000 reads/s that the store allows.
_POLL_INTERVAL_S = 60


class BlockSync:
    """Reads the objects below ``blocks/`` and rereads those that changed.

    ``blocks/sites`` is ``{"regions": [region of site 0, region of site 1, ...]}``. Every other
    object is ``{"packed": base64}`` with a part of :meth:`BlockMap.to_parts`, or
    ``{"changes": {"<block>": site | null}}``. Changes are applied after all parts, in the order
    of the object names.
    """

    __slots__ = ('_block_map', '_environment', '_regions', '_store', '_value_by_name', '_versions')

    def __init__(self, *, environment: Environment, store: Store) -> None:
        self._environment = environment
        self._store = store
        self._block_map = BlockMap()
        self._regions: list[str] = []
        self._versions: dict[str, int] = {}
        self._value_by_name: dict[str, Any] = {}

    def region(self, address: str) -> str:
        """Return the region of a caller, the host's region for IPv6 and unknown blocks."""
        site = self._block_map.site(address)
        if site is None or site >= len(self._regions):
            return self._environment.settings.region
        return self._regions[site]

    async def run(self) -> None:
        """Poll the store until cancelled. The last map remains in use while the store is down."""
        while True:
            try:
                await self.refresh()
            except (StoreError, ValueError) as error:
                self._environment.log.event('block_map_kept', reason=error)
            await asyncio.sleep(_POLL_INTERVAL_S * random.uniform(0.8, 1.2))

    async def refresh(self) -> None:
        """Read the changed objects and rebuild the map if there are any.

        :raises StoreError: if a call failed; the current map is kept.
        :raises ValueError: if an object has an unknown format.
        """
        versions = await self._store.list_names(prefix=_OBJECT_PREFIX)
        if versions == self._versions:
            return
        value_by_name = {}
        for name in sorted(versions):
            if versions[name] == self._versions.get(name):
                value_by_name[name] = self._value_by_name[name]
                continue
            stored = await self._store.read(name)
            value_by_name[name] = None if stored is None else _decode(name, stored.value)
        block_map, regions = _build(value_by_name)
        self._block_map, self._regions = block_map, regions
        self._versions, self._value_by_name = versions, value_by_name
        self._environment.log.event('block_map_read', blocks=len(block_map), sites=len(regions))

    def dump(self) -> dict[str, Any]:
        """Return sizes and versions as JSON-compatible data."""
        return {
            'blocks': len(self._block_map),
            'bytes': self._block_map.size_bytes(),
            'regions': self._regions,
            'versions': self._versions,
        }


def _decode(name: str, value: Any) -> Any:
    match value:
        case {'packed': str(packed)}:
            return base64.b64decode(packed, validate=True)
        case {'regions': list(regions)}:
            return [str(region) for region in regions]
        case {'changes': dict(changes)}:
            return {int(block): site for block, site in changes.items()}
    raise ValueError(f'{name} has an unknown format')


def _build(value_by_name: dict[str, Any]) -> tuple[BlockMap, list[str]]:
    parts = [part for part in value_by_name.values() if isinstance(part, bytes)]
    block_map = BlockMap.from_parts(parts)
    for changes in value_by_name.values():
        if isinstance(changes, dict):
            block_map = block_map.changed(changes)
    return block_map, value_by_name.get(_SITES_OBJECT) or []
