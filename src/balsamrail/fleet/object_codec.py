"""The form of the store's objects in messages between hosts."""

from collections.abc import Sequence

import msgpack

from balsamrail.catalog.stored_objects import StoreObject
from balsamrail.errors import PeerError


def pack_object(stored: StoreObject) -> bytes:
    """Return an object as a msgpack array."""
    packed: bytes = msgpack.packb([stored.name, stored.revision, stored.spec])
    return packed


def unpack_objects(packed: Sequence[bytes]) -> list[StoreObject]:
    """Return the objects of a message.

    :raises PeerError: if one has another form.
    """
    try:
        return [_unpack(cell) for cell in packed]
    except Exception as error:
        raise PeerError(f'an object cannot be read: {error!r}') from error


def _unpack(cell: bytes) -> StoreObject:
    name, revision, spec = msgpack.unpackb(cell, strict_map_key=False)
    if type(name) is not str or type(revision) is not int:
        raise TypeError('name or revision has the wrong type')
    return StoreObject(name=name, revision=revision, spec=spec)
