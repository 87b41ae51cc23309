"""Parsing of JSON that contains values of other writers."""

import json
import re
from typing import Any

# Deeper values are replaced by null. The objects of the platform are less than half as deep.
_MAX_DEPTH = 32
_MIN_INTEGER = -(2**63)
_MAX_INTEGER = 2**64 - 1
# All integers with at most this number of characters are within these limits.
_MAX_SHORT_CHARS = 18
_MAX_INTEGER_CHARS = 20
# A text, or the start or the end of an array or object.
_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[{]|[\]}]', re.DOTALL)


def parse_json(body: bytes) -> Any:
    """Return the value of a JSON text.

    A single value that cannot be represented does not make the whole text unreadable, since it may
    stand in one of many entries::

        parse_json(b'[[1], 99999999999999999999]')  # [[1], 1e+20]

    Integers that do not fit 64 bits become floating-point numbers, which may be infinite, bytes
    that are not UTF-8 the replacement character, and values nested too deeply ``None``.

    :raises ValueError: if the text is not JSON.
    """
    try:
        text = body.decode()
    except UnicodeDecodeError:
        text = body.decode(errors='replace')
    try:
        return _DECODER.decode(text)
    except RecursionError:
        return _decode_shallow(text)


def _decode_shallow(text: str) -> Any:
    try:
        return _DECODER.decode(_without_deep_values(text))
    except RecursionError as error:
        raise ValueError('a value is nested too deeply') from error


def _parse_integer(text: str) -> int | float:
    if len(text) <= _MAX_SHORT_CHARS:
        return int(text)
    if len(text) <= _MAX_INTEGER_CHARS:
        number = int(text)
        if _MIN_INTEGER <= number <= _MAX_INTEGER:
            return number
    return float(text)


_DECODER = json.JSONDecoder(parse_int=_parse_integer)


def _without_deep_values(text: str) -> str:
    """Return a JSON text with null in place of arrays and objects that are nested too deeply."""
    parts = []
    depth = 0
    copied_to = 0
    for token in _TOKEN.finditer(text):
        if token[0] in '[{':
            depth += 1
            if depth == _MAX_DEPTH + 1:
                parts.append(text[copied_to : token.start()])
        elif token[0] in ']}':
            if depth == _MAX_DEPTH + 1:
                parts.append('null')
                copied_to = token.end()
            depth -= 1
    if depth > _MAX_DEPTH:
        raise ValueError('a value that is nested too deeply has no end')
    return ''.join([*parts, text[copied_to:]])
