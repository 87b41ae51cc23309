"""Decoding and validation of JSON documents into data classes."""

import json
import math
from typing import Any, TypeVar

import apischema

from balsamrail.errors import DocumentError

DocumentT = TypeVar('DocumentT')

# The range in which all JSON implementations represent integers exactly (RFC 8259). Larger ones
# do not fit a float, and a number that is not finite would pass every comparison with a limit.
_MAX_INTEGER = 2**53


def decode_document(*, text: str | bytes, kind: type[DocumentT]) -> DocumentT:
    """Decode ``text`` as a JSON document of the data class ``kind``.

    All errors are reported together, each with its path in the document::

        $.services.diary.targets[3].slots: less than 1 (minimum)

    :raises DocumentError: if the text is not JSON or does not fit the type.
    """
    try:
        document = json.loads(
            text,
            parse_constant=_raise_out_of_range,
            parse_float=_parse_finite_float,
            parse_int=_parse_interoperable_integer,
        )
    except (ValueError, RecursionError) as error:
        raise DocumentError(faults=[f'$: not valid JSON: {error}']) from error
    return decode_value(value=document, kind=kind)


def decode_value(*, value: Any, kind: type[DocumentT]) -> DocumentT:
    """Decode JSON-compatible data; see :func:`decode_document`."""
    try:
        return apischema.deserialize(kind, value)
    except apischema.ValidationError as error:
        raise DocumentError(faults=[_format_fault(entry) for entry in error.errors]) from error


def encode_value(*, value: object) -> Any:
    """Encode a data class as JSON-compatible data, the inverse of :func:`decode_value`."""
    return apischema.serialize(type(value), value)


def format_path(*parts: str | int) -> str:
    """Return a path such as ``$.services.diary.targets[3]``."""
    steps = [f'[{part}]' if isinstance(part, int) else f'.{part}' for part in parts]
    return ''.join(['$', *steps])


def _parse_finite_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        _raise_out_of_range(text)
    return number


def _parse_interoperable_integer(text: str) -> int:
    number = int(text)
    if abs(number) > _MAX_INTEGER:
        _raise_out_of_range('an integer')
    return number


def _raise_out_of_range(text: str) -> None:
    raise ValueError(f'{text} is out of range')


def _format_fault(entry: Any) -> str:
    return f'{format_path(*entry["loc"])}: {entry["err"]}'
