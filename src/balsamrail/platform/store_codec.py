"""Reads the bodies of the platform's store."""

import json
from contextlib import suppress
from typing import Any

from balsamrail.catalog.stored_objects import ObjectEvent, StoreObject, WatchAnswer
from balsamrail.errors import StoreError
from balsamrail.platform.fields import FAULTS


def read_body(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    :raises StoreError: if it holds anything else.
    """
    try:
        found = json.loads(body)
    except ValueError as error:
        raise StoreError(f'the answer is not JSON: {error}') from error
    if not isinstance(found, dict):
        raise StoreError('the answer is not a JSON object')
    return found


def read_object(found: Any) -> StoreObject:
    """Return the object that a listing, an event or an answer holds.

    :raises StoreError: if it has no name or no revision.
    """
    try:
        metadata = found['metadata']
        return StoreObject(
            name=str(metadata['name']),
            revision=int(metadata.get('revision') or 0),
            spec=found.get('spec'),
        )
    except FAULTS as error:
        raise StoreError(f'an object has another form: {error!r}') from error


def read_items(found: dict[str, Any]) -> list[StoreObject]:
    """Return the objects of one page of a listing; those without a name are left out."""
    objects = []
    for entry in _entries(found, 'items'):
        # Nothing can be said of an object whose name is not known.
        with suppress(StoreError):
            objects.append(read_object(entry))
    return objects


def read_events(found: dict[str, Any]) -> WatchAnswer:
    """Return the events of an answered watch.

    :raises StoreError: if it names no revision to continue from.
    """
    events = []
    for entry in _entries(found, 'events'):
        if not isinstance(entry, dict):
            raise StoreError(f'an event has another form: {entry!r}')
        stored = read_object(entry.get('object'))
        events.append(ObjectEvent(stored=stored, is_removal=bool(entry.get('tombstone'))))
    return WatchAnswer(events=tuple(events), revision=read_revision(found))


def read_revision(found: dict[str, Any]) -> int:
    """Return the store's revision.

    :raises StoreError: if the answer does not name it.
    """
    revision = found.get('storeRevision')
    if type(revision) is not int:
        raise StoreError('the answer names no revision')
    return revision


def _entries(found: dict[str, Any], name: str) -> list[Any]:
    entries = found.get(name) or []
    if not isinstance(entries, list):
        raise StoreError(f'{name} is not a list')
    return entries
