"""Parses the response bodies of the platform's store."""

import json
from contextlib import suppress
from typing import Any

from balsamrail.catalog.stored_objects import ObjectEvent, StoreObject, WatchAnswer
from balsamrail.errors import StoreError
from balsamrail.platform.fields import FIELD_ERRORS


def read_body(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    :raises StoreError: if it is not a JSON object.
    """
    try:
        payload = json.loads(body)
    except ValueError as error:
        raise StoreError(f'the answer of the store is not JSON: {error}') from error
    if not isinstance(payload, dict):
        raise StoreError('the answer of the store is not a JSON object')
    return payload


def read_object(payload: Any) -> StoreObject:
    """Return the object in a listing, an event or an answer.

    :raises StoreError: if the name is missing or the revision is malformed.
    """
    try:
        metadata = payload['metadata']
        return StoreObject(
            name=str(metadata['name']),
            revision=int(metadata.get('revision') or 0),
            spec=payload.get('spec'),
        )
    except FIELD_ERRORS as error:
        raise StoreError(f'malformed object: {error!r}') from error


def read_items(payload: dict[str, Any]) -> list[StoreObject]:
    """Return the objects of one page of a listing, without malformed ones."""
    objects = []
    for entry in _read_entries(payload, 'items'):
        # An object whose name is unknown cannot be reported or stored.
        with suppress(StoreError):
            objects.append(read_object(entry))
    return objects


def read_events(payload: dict[str, Any]) -> WatchAnswer:
    """Return the events of a watch.

    :raises StoreError: if the answer has no revision to continue from or an event is malformed.
    """
    events = []
    for entry in _read_entries(payload, 'events'):
        if not isinstance(entry, dict):
            raise StoreError(f'malformed event: {entry!r}')
        stored = read_object(entry.get('object'))
        events.append(ObjectEvent(stored=stored, is_removal=bool(entry.get('tombstone'))))
    return WatchAnswer(events=tuple(events), revision=read_revision(payload))


def read_revision(payload: dict[str, Any]) -> int:
    """Return the store's revision.

    :raises StoreError: if the answer does not contain it.
    """
    revision = payload.get('storeRevision')
    if type(revision) is not int:
        raise StoreError('the answer of the store has no revision')
    return revision


def _read_entries(payload: dict[str, Any], name: str) -> list[Any]:
    entries = payload.get(name) or []
    if not isinstance(entries, list):
        raise StoreError(f'{name} is not a list')
    return entries
