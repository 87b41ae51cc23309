"""Encoding of the store's objects in messages between hosts."""

from collections.abc import Sequence

import msgpack

from balsamrail.catalog.stored_objects import StoreObject
from balsamrail.errors import PeerError


def pack_object(stored: StoreObject) -> bytes:
    """Encode an object as a msgpack array."""
    packed: bytes = msgpack.packb([stored.name, stored.revision, stored.spec])
    return packed


def unpack_objects(packed: Sequence[bytes]) -> list[StoreObject]:
    """Decode the objects of a message.

    :raises PeerError: if an object is malformed.
    """
    try:
        return [_unpack_object(item) for item in packed]
    except Exception as error:
        raise PeerError(f'malformed object in a feed update: {error!r}') from error


def _unpack_object(item: bytes) -> StoreObject:
    name, revision, spec = msgpack.unpackb(item, strict_map_key=False)
    if type(name) is not str or type(revision) is not int:
        raise TypeError('name is not a string or revision is not an integer')
    return StoreObject(name=name, revision=revision, spec=spec)
