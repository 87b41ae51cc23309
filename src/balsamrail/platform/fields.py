"""Checks single fields of the platform's objects, which other writers can fill with anything."""

import math
from typing import Any

# What reading a field of another form raises; the readers turn it into errors of ours.
FAULTS = (KeyError, OverflowError, TypeError, ValueError)


def mapping(found: Any) -> dict[str, Any]:
    """Return a JSON object.

    :raises TypeError: if it is anything else.
    """
    if not isinstance(found, dict):
        raise TypeError(f'{found!r} is not an object')
    return found


def text(found: Any) -> str:
    """Return a text.

    :raises TypeError: if it is anything else.
    """
    if not isinstance(found, str):
        raise TypeError(f'{found!r} is not a text')
    return found


def whole(found: Any) -> int:
    """Return a whole number.

    :raises TypeError: if it is anything else.
    """
    if not isinstance(found, int) or isinstance(found, bool):
        raise TypeError(f'{found!r} is not a whole number')
    return found


def number(found: Any) -> float:
    """Return a finite number.

    :raises TypeError: if it is anything else.
    """
    if not isinstance(found, (int, float)) or isinstance(found, bool):
        raise TypeError(f'{found!r} is not a number')
    if not math.isfinite(found):
        raise ValueError(f'{found!r} is not finite')
    return found
