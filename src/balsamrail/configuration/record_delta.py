"""The difference between two values of the record, as hosts send it to each other."""

import json
from typing import Any

from balsamrail.configuration.merge_patch import apply_merge_patch, make_merge_patch

_NULLABLE = ('candidate', 'stopped')
_WITH_TEXT = ('accepted', 'candidate')
# A text that is kept as a document, which is how a record is written.
_AS_DOCUMENT = -1
# The usual ways to write JSON: compact, Python's default, and indented.
_LAYOUTS: tuple[dict[str, Any], ...] = (
    {'separators': (',', ':')},
    {},
    {'indent': 2},
    {'indent': 4},
)


def make_record_patch(old: Any, new: Any) -> bytes | None:
    """Return a merge patch from ``old`` to ``new``, ``None`` if none expresses the change.

    The declarations' texts are compared as JSON documents where they can be written back
    letter by letter, so that the patch of a small edit is small. The result is checked by
    applying it.
    """
    patch = encode_json(make_merge_patch(_open_texts(old), _open_texts(new)))
    try:
        exact = apply_record_patch(old, patch) == new
    except ValueError:
        exact = False
    return patch if exact else None


def apply_record_patch(old: Any, patch: bytes) -> Any:
    """Return the value that a patch of :func:`make_record_patch` makes of ``old``.

    :raises ValueError: if the patch is not JSON or its result is not a record.
    """
    value = apply_merge_patch(_open_texts(old), json.loads(patch))
    if not isinstance(value, dict):
        raise ValueError('the patched record is not an object')
    # A merge patch cannot write null, it removes the member.
    for name in _NULLABLE:
        value.setdefault(name, None)
    return _close_texts(value)


def encode_json(value: Any) -> bytes:
    """Return plain data as compact JSON."""
    return json.dumps(value, separators=(',', ':')).encode()


def _open_texts(value: Any) -> Any:
    opened = dict(value)
    for name in _WITH_TEXT:
        part = opened.get(name)
        if isinstance(part, dict) and isinstance(part.get('text'), str | dict):
            opened[name] = {**part, 'text': _open_text(part['text'])}
    return opened


def _open_text(text: str | dict[str, Any]) -> Any:
    if isinstance(text, dict):
        return {'layout': _AS_DOCUMENT, 'document': text}
    try:
        document = json.loads(text)
    except ValueError:
        return text
    for number, layout in enumerate(_LAYOUTS):
        if json.dumps(document, **layout) == text:
            return {'layout': number, 'document': document}
    return text


def _close_texts(value: dict[str, Any]) -> dict[str, Any]:
    for name in _WITH_TEXT:
        part = value.get(name)
        if isinstance(part, dict) and isinstance(part.get('text'), dict):
            value[name] = {**part, 'text': _close_text(part['text'])}
    return value


def _close_text(opened: dict[str, Any]) -> Any:
    layout = opened.get('layout')
    if layout == _AS_DOCUMENT:
        return opened.get('document')
    if type(layout) is not int or not 0 <= layout < len(_LAYOUTS):
        raise ValueError('unknown text layout')
    return json.dumps(opened.get('document'), **_LAYOUTS[layout])
