"""Reading of the store's answers."""

import json
from typing import Any

from balsamrail.errors import StoreError


def decode_answer(body: bytes) -> dict[str, Any]:
    """Return the JSON object in an answer.

    :raises StoreError: if it is something else.
    """
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise StoreError(f'the answer is not JSON: {error}') from error
    if not isinstance(decoded, dict):
        raise StoreError('the answer is not a JSON object')
    return decoded


def answered_version(body: bytes) -> int:
    """Return the version in an answer.

    :raises StoreError: if there is none.
    """
    version = decode_answer(body).get('version')
    if type(version) is not int:
        raise StoreError('the answer carries no version')
    return version


def encode_value(value: Any) -> bytes:
    """Return a value as JSON.

    :raises StoreError: if the value is not plain JSON data.
    """
    try:
        return json.dumps(value, allow_nan=False, separators=(',', ':')).encode()
    except (TypeError, ValueError) as error:
        raise StoreError(f'the value is not JSON: {error}') from error
