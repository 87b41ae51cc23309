"""Type checks for single fields of the platform's objects, which other clients can write freely."""

import math
from typing import Any

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
    """Return ``value`` if it is a string.

    :raises TypeError: if it has another type.
    """
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a string')
    return value


def integer(value: Any) -> int:
    """Return ``value`` if it is an integer; a boolean is not.

    :raises TypeError: if it has another type.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'{value!r} is not an integer')
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
