"""Checked decoding of JSON documents into data classes."""

import json
import math
from typing import Any, TypeVar

import apischema

from balsamrail.errors import DocumentError

DocumentT = TypeVar('DocumentT')

# The range in which every JSON reader keeps integers exact (RFC 8259). Larger ones do not fit a
# float, and a number that is not finite would pass each comparison with a limit.
_LARGEST_INTEGER = 2**53


def decode_document(*, text: str | bytes, kind: type[DocumentT]) -> DocumentT:
    """Decode ``text`` as a JSON document of the data class ``kind``.

    All faults are reported at once, each with its path in the document::

        $.services.diary.targets[3].slots: less than 1 (minimum)

    :raises DocumentError: if the text is not JSON or does not fit the type.
    """
    try:
        document = json.loads(
            text, parse_constant=_refuse, parse_float=_finite, parse_int=_interoperable
        )
    except (ValueError, RecursionError) as error:
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


def _finite(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        _refuse(text)
    return number


def _interoperable(text: str) -> int:
    number = int(text)
    if abs(number) > _LARGEST_INTEGER:
        _refuse('an integer')
    return number


def _refuse(text: str) -> None:
    raise ValueError(f'{text} is out of range')


def _fault(entry: Any) -> str:
    return f'{format_path(*entry["loc"])}: {entry["err"]}'
