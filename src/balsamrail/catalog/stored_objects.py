"""Objects, listings and watch events of the platform's store."""

from dataclasses import dataclass, field
from typing import Any

from balsamrail.catalog.revision import Revision


@dataclass(slots=True, kw_only=True, frozen=True)
class StoreObject:
    """An object in the store.

    :param revision: the store's revision at the last change, used for conditional writes.
    :param spec: plain JSON data; not validated, since other writers may store anything.
    """

    name: str
    revision: Revision
    # Not in the representation, since a manifest has API keys.
    spec: Any = field(repr=False)


@dataclass(slots=True, kw_only=True, frozen=True)
class Listing:
    """All objects of a kind, with the store's revision of the listing."""

    objects: tuple[StoreObject, ...]
    revision: Revision


@dataclass(slots=True, kw_only=True, frozen=True)
class ObjectEvent:
    """The write of an object, or its removal if ``is_removal``.

    :param is_lost: whether the store lost the object when it came back from an older copy, so that
        nobody may have removed it.
    """

    stored: StoreObject
    is_removal: bool
    is_lost: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class WatchAnswer:
    """The events after a revision, and the revision from which to continue."""

    events: tuple[ObjectEvent, ...]
    revision: Revision
