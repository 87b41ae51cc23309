"""An object of the platform's store."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredObject:
    """An object's name, its version for conditional writes, and its value as JSON data.

    Versions rise with each write and each era of the store; see :mod:`balsamrail.store.versions`.
    """

    name: str
    version: int
    value: Any
