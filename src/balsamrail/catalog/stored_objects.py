"""Objects, listings and events of the platform's store."""

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreObject:
    """An object as the store holds it.

    :param revision: the store's revision at its last change, which conditional writes name.
    :param spec: plain JSON data; objects of other writers can hold anything.
    """

    name: str
    revision: int
    spec: Any


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """All objects of a kind and the store's revision at which they were read."""

    objects: tuple[StoreObject, ...]
    revision: int


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectEvent:
    """An object was written, or removed if ``is_removal``."""

    stored: StoreObject
    is_removal: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class WatchAnswer:
    """The events since a revision and the revision to continue from."""

    events: tuple[ObjectEvent, ...]
    revision: int
