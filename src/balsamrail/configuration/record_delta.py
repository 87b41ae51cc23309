"""Patches between two values of the record, as exchanged by hosts."""

import json
from typing import Any

from balsamrail.configuration.merge_patch import apply_merge_patch, make_merge_patch

_NULLABLE_FIELDS = ('candidate', 'stopped')
_TEXT_FIELDS = ('accepted', 'candidate')
# Layout number of a declaration that is a JSON object, the form in which records are written.
_DOCUMENT_LAYOUT = -1
# Common JSON formats: compact, Python's default, and indented.
_LAYOUTS: tuple[dict[str, Any], ...] = (
    {'separators': (',', ':')},
    {},
    {'indent': 2},
    {'indent': 4},
)


def make_record_patch(old: Any, new: Any) -> bytes | None:
    """Return a merge patch from ``old`` to ``new``, or ``None`` if no patch expresses the change.

    Declarations are compared as JSON documents if serializing them reproduces the original text
    exactly, so that a small edit gives a small patch. The patch is verified by applying it.
    """
    patch = encode_json(make_merge_patch(_parse_texts(old), _parse_texts(new)))
    try:
        exact = apply_record_patch(old, patch) == new
    except ValueError:
        exact = False
    return patch if exact else None


def apply_record_patch(old: Any, patch: bytes) -> Any:
    """Return ``old`` with a patch of :func:`make_record_patch` applied.

    :raises ValueError: if the patch is not JSON or its result is not a record.
    """
    value = apply_merge_patch(_parse_texts(old), json.loads(patch))
    if not isinstance(value, dict):
        raise ValueError('the patched record is not an object')
    # A merge patch removes members that are null, so they are restored here.
    for name in _NULLABLE_FIELDS:
        value.setdefault(name, None)
    return _serialize_texts(value)


def encode_json(value: Any) -> bytes:
    """Encode plain data as compact JSON."""
    return json.dumps(value, separators=(',', ':')).encode()


def _parse_texts(value: Any) -> Any:
    parsed = dict(value)
    for name in _TEXT_FIELDS:
        part = parsed.get(name)
        if isinstance(part, dict) and isinstance(part.get('text'), str | dict):
            parsed[name] = {**part, 'text': _parse_text(part['text'])}
    return parsed


def _parse_text(text: str | dict[str, Any]) -> Any:
    if isinstance(text, dict):
        return {'layout': _DOCUMENT_LAYOUT, 'document': text}
    try:
        document = json.loads(text)
    except ValueError:
        return text
    for number, layout in enumerate(_LAYOUTS):
        if json.dumps(document, **layout) == text:
            return {'layout': number, 'document': document}
    return text


def _serialize_texts(value: dict[str, Any]) -> dict[str, Any]:
    for name in _TEXT_FIELDS:
        part = value.get(name)
        if isinstance(part, dict) and isinstance(part.get('text'), dict):
            value[name] = {**part, 'text': _serialize_text(part['text'])}
    return value


def _serialize_text(parsed: dict[str, Any]) -> Any:
    layout = parsed.get('layout')
    if layout == _DOCUMENT_LAYOUT:
        return parsed.get('document')
    if type(layout) is not int or not 0 <= layout < len(_LAYOUTS):
        raise ValueError('unknown text layout')
    return json.dumps(parsed.get('document'), **_LAYOUTS[layout])
