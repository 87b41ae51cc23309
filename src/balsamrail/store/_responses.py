"""Encoding and decoding of the bodies exchanged with the store."""

import json
from collections.abc import Mapping
from typing import Any

from balsamrail.errors import StoreError
from balsamrail.lenient_json import parse_json

ERA_HEADER = 'Store-Era'


def decode_era(headers: Mapping[str, str]) -> int:
    """Return how many times the store has come back from a copy, 0 if no header tells it.

    :raises StoreError: if the header is not a number.
    """
    text = headers.get(ERA_HEADER, '0')
    if not (text.isascii() and text.isdigit()):
        raise StoreError(f'the header {ERA_HEADER} is not a number')
    return int(text)


def decode_response(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a response body.

    :raises StoreError: if the body is not a JSON object.
    """
    try:
        decoded = parse_json(body)
    except ValueError as error:
        raise StoreError(f'the response is not JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise StoreError('the response is not a JSON object')
    return decoded


def decode_version(body: bytes) -> int:
    """Return the object version in a response body.

    :raises StoreError: if the body has no version.
    """
    version = decode_response(body).get('version')
    if type(version) is not int:
        raise StoreError('the response has no version')
    return version


def encode_value(value: Any) -> bytes:
    """Encode a value as JSON.

    :raises StoreError: if the value cannot be represented as JSON.
    """
    try:
        return json.dumps(value, allow_nan=False, separators=(',', ':')).encode()
    except (TypeError, ValueError) as error:
        raise StoreError(f'the value is not JSON: {error}') from error
