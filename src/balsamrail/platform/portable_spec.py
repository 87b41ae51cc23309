"""Specs that can be passed on to other hosts, so that all hosts read the same."""

from typing import Any

import msgpack

from balsamrail.platform.customer_reader import CUSTOMERS


def portable_spec(spec: Any) -> Any:
    """Return a spec, ``None`` if it cannot be encoded in a message.

    A customer of the manifest that cannot, such as one whose key has a lone surrogate, loses its own
    spec only, so that it does not keep the rest of the manifest from coming into force.
    """
    if _is_portable(spec):
        return spec
    if not isinstance(spec, dict) or not isinstance(spec.get('resources'), list):
        return None
    reduced = {**spec, 'resources': [_reduce(entry) for entry in spec['resources']]}
    return reduced if _is_portable(reduced) else None


def _reduce(entry: Any) -> Any:
    if not isinstance(entry, dict) or entry.get('entryKind') != CUSTOMERS or _is_portable(entry):
        return entry
    metadata = entry.get('metadata')
    return {
        'entryKind': CUSTOMERS,
        'metadata': metadata if _is_portable(metadata) else None,
        'spec': None,
    }


def _is_portable(spec: Any) -> bool:
    try:
        msgpack.packb(spec)
    except (ValueError, OverflowError, RecursionError):
        return False
    return True
