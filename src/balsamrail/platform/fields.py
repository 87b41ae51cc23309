"""Type checks for single fields of the platform's objects, which other clients can write freely."""

import math
from typing import Any

_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**63 - 1

# Errors raised when a field is missing or malformed; the readers convert them to EntryError or
# StoreError.
FIELD_ERRORS = (KeyError, OverflowError, TypeError, ValueError)


def mapping(value: Any) -> dict[str, Any]:
    """Return ``value`` if it is a JSON object.

    :raises TypeError: if it has another type.
    """
    if not isinstance(value, dict):
        raise TypeError(f'{value!r} is not a JSON object')
    return value


def string(value: Any) -> str:
    """Return ``value`` if it is a string that can be encoded, for messages and logs.

    :raises TypeError: if it has another type.
    :raises UnicodeEncodeError: if it contains a surrogate.
    """
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    value.encode()
    return value


def integer(value: Any) -> int:
    """Return ``value`` if it is an integer of 64 bits; a boolean is not.

    :raises TypeError: if it has another type.
    :raises OverflowError: if it does not fit 64 bits.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'{value!r} is not an integer')
    if not _MIN_INTEGER <= value <= _MAX_INTEGER:
        raise OverflowError('the integer does not fit 64 bits')
    return value


def number(value: Any) -> float:
    """Return ``value`` if it is a finite number; a boolean is not.

    :raises TypeError: if it has another type.
    :raises ValueError: if it is infinite or not a number.
    """
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise TypeError(f'{value!r} is not a number')
    if not math.isfinite(value):
        raise ValueError(f'{value!r} is not finite')
    return value
