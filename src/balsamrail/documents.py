"""Checked decoding of JSON documents into data classes."""

import json
from typing import Any, TypeVar

import apischema

from balsamrail.errors import DocumentError

DocumentT = TypeVar('DocumentT')


def decode_document(*, text: str | bytes, kind: type[DocumentT]) -> DocumentT:
    """Decode ``text`` as a JSON document of the data class ``kind``.

    All faults are reported at once, each with its path in the document::

        $.services.diary.targets[3].slots: less than 1 (minimum)

    :raises DocumentError: if the text is not JSON or does not fit the type.
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        raise DocumentError(faults=[f'$: not valid JSON: {error}']) from error
    return decode_value(value=document, kind=kind)


def decode_value(*, value: Any, kind: type[DocumentT]) -> DocumentT:
    """Decode plain JSON data; see :func:`decode_document`."""
    try:
        return apischema.deserialize(kind, value)
    except apischema.ValidationError as error:
        raise DocumentError(faults=[_fault(entry) for entry in error.errors]) from error


def encode_value(*, value: object) -> Any:
    """Return a data class as plain JSON data, the reverse of :func:`decode_value`."""
    return apischema.serialize(type(value), value)


def format_path(*parts: str | int) -> str:
    """Return a path such as ``$.services.diary.targets[3]``."""
    steps = [f'[{part}]' if isinstance(part, int) else f'.{part}' for part in parts]
    return ''.join(['$', *steps])


def _fault(entry: Any) -> str:
    return f'{format_path(*entry["loc"])}: {entry["err"]}'
