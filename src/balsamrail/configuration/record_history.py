"""The last values of the record that a host had."""

import json
from collections import OrderedDict
from typing import Any

from balsamrail.configuration.record_delta import encode_json, make_record_patch

# A host that missed more changes than this gets the full record. Values are at most 1 MB.
_KEPT_VALUES = 4


class RecordHistory:
    """Values by record number, kept as JSON text, and the patches made between them."""

    __slots__ = ('_patch_by_base', '_text_by_number')

    def __init__(self) -> None:
        self._text_by_number: OrderedDict[int, bytes] = OrderedDict()
        self._patch_by_base: dict[int, bytes | None] = {}

    def __contains__(self, number: int) -> bool:
        return number in self._text_by_number

    def add(self, number: int, value: Any) -> None:
        """Keep a value that is now in force."""
        self._text_by_number[number] = encode_json(value)
        self._patch_by_base.clear()
        while len(self._text_by_number) > _KEPT_VALUES:
            self._text_by_number.popitem(last=False)

    def value(self, number: int) -> Any:
        """Return the value of a kept number as plain data."""
        return json.loads(self._text_by_number[number])

    def text(self, number: int) -> bytes:
        """Return the value of a kept number as JSON."""
        return self._text_by_number[number]

    def patch(self, base: int, number: int) -> bytes | None:
        """Return the patch to the newest number, ``None`` if the full record is better."""
        if base not in self._text_by_number:
            return None
        if base not in self._patch_by_base:
            patch = make_record_patch(self.value(base), self.value(number))
            small = patch is not None and len(patch) < len(self._text_by_number[number])
            self._patch_by_base[base] = patch if small else None
        return self._patch_by_base[base]
