"""A copy of the store stand-in."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreCopy:
    """All objects with their versions, and the host list."""

    entry_by_name: dict[str, tuple[int, bytes]]
    entry_by_host: dict[str, dict[str, Any] | None]
