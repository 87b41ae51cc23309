"""An object of the platform's store."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True, frozen=True)
class StoredObject:
    """A name, the version that conditional writes name, and a value as plain JSON data."""

    name: str
    version: int
    value: Any
