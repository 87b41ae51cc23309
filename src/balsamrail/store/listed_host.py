"""An entry of the platform's host list."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class ListedHost:
    """A host that the platform lists as ``live`` or ``leaving``; the list may be outdated."""

    host: str
    address: str
    state: str
