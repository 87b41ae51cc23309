"""Parses the response bodies of the platform's store."""

import re
from contextlib import suppress
from typing import Any

from tornado.httputil import HTTPHeaders

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import ObjectEvent, StoreObject, WatchAnswer
from balsamrail.errors import StoreError
from balsamrail.lenient_json import parse_json
from balsamrail.platform import fields, headers
from balsamrail.platform.portable_spec import portable_spec

# An entry may be no JSON object at all.
_OBJECT_ERRORS = (*fields.FIELD_ERRORS, AttributeError)
_ERA_FORMAT = re.compile(r'\d{1,18}', re.ASCII)


def read_body(body: bytes) -> dict[str, Any]:
    """Return the JSON object in ``body``.

    :raises StoreError: if it is not a JSON object.
    """
    try:
        payload = parse_json(body)
    except ValueError as error:
        raise StoreError(f'the answer of the store is not JSON: {error}') from error
    if not isinstance(payload, dict):
        raise StoreError('the answer of the store is not a JSON object')
    return payload


def read_era(answer_headers: HTTPHeaders) -> int:
    """Return the era of the store, 0 if the header is missing or malformed."""
    text = answer_headers.get(headers.STORE_ERA, '')
    return int(text) if _ERA_FORMAT.fullmatch(text) else 0


def read_object(payload: Any, *, era: int) -> StoreObject:
    """Return the object in a listing, an event or an answer.

    What cannot be passed on to other hosts counts as missing, so that all hosts read the same.

    :param era: the era of the store that gave the answer.
    :raises StoreError: if the name is missing or the revision is malformed.
    """
    try:
        metadata = payload['metadata']
        number = int(metadata.get('revision') or 0)
        return StoreObject(
            name=fields.string(str(metadata['name'])),
            revision=Revision(era=era, number=fields.integer(number)),
            spec=portable_spec(payload.get('spec')),
        )
    except _OBJECT_ERRORS as error:
        raise StoreError(f'malformed object: {error!r}') from error


def read_items(payload: dict[str, Any], *, era: int) -> list[StoreObject]:
    """Return the objects of one page of a listing, without malformed ones."""
    objects = []
    for entry in _read_entries(payload, 'items'):
        # An object whose name is unknown cannot be reported or stored.
        with suppress(StoreError):
            objects.append(read_object(entry, era=era))
    return objects


def read_events(payload: dict[str, Any], *, era: int) -> WatchAnswer:
    """Return the events of a watch, without malformed ones.

    :raises StoreError: if the answer has no revision to continue from.
    """
    events = []
    for entry in _read_entries(payload, 'events'):
        # The watch has to go on after an event of an unknown object.
        if isinstance(entry, dict):
            with suppress(StoreError):
                stored = read_object(entry.get('object'), era=era)
                events.append(ObjectEvent(stored=stored, is_removal=bool(entry.get('tombstone'))))
    return WatchAnswer(events=tuple(events), revision=read_revision(payload, era=era))


def read_revision(payload: dict[str, Any], *, era: int) -> Revision:
    """Return the store's revision.

    :raises StoreError: if the answer does not contain it.
    """
    revision = payload.get('storeRevision')
    if type(revision) is not int:
        raise StoreError('the answer of the store has no revision')
    return Revision(era=era, number=revision)


def _read_entries(payload: dict[str, Any], name: str) -> list[Any]:
    entries = payload.get(name) or []
    if not isinstance(entries, list):
        raise StoreError(f'{name} is not a list')
    return entries
