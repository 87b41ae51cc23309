"""A bounded history of the record's values on a host."""

import json
from collections import OrderedDict
from typing import Any

from balsamrail.configuration.record_delta import encode_json, make_record_patch

# A peer that is further behind receives the full record. Values are at most 1 MB.
_MAX_VALUES = 4


class RecordHistory:
    """Recent values by record number as JSON, with a cache of patches to the newest one."""

    __slots__ = ('_json_by_number', '_patch_by_base')

    def __init__(self) -> None:
        self._json_by_number: OrderedDict[int, bytes] = OrderedDict()
        self._patch_by_base: dict[int, bytes | None] = {}

    def __contains__(self, number: int) -> bool:
        return number in self._json_by_number

    def add(self, number: int, value: Any) -> None:
        """Add the value that is now in force and evict the oldest ones."""
        self._json_by_number[number] = encode_json(value)
        self._patch_by_base.clear()
        while len(self._json_by_number) > _MAX_VALUES:
            self._json_by_number.popitem(last=False)

    def value(self, number: int) -> Any:
        """Return the value for a stored number as plain data."""
        return json.loads(self._json_by_number[number])

    def encoded(self, number: int) -> bytes:
        """Return the value for a stored number as JSON."""
        return self._json_by_number[number]

    def patch(self, base: int, number: int) -> bytes | None:
        """Return the patch from ``base`` to the newest number.

        ``None`` if ``base`` is not stored or the patch is not smaller than the full record.
        """
        if base not in self._json_by_number:
            return None
        if base not in self._patch_by_base:
            patch = make_record_patch(self.value(base), self.value(number))
            small = patch is not None and len(patch) < len(self._json_by_number[number])
            self._patch_by_base[base] = patch if small else None
        return self._patch_by_base[base]
