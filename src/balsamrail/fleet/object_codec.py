"""Encoding of the store's objects in messages between hosts."""

from collections.abc import Iterable, Sequence

import msgpack

from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import StoreObject
from balsamrail.errors import PeerError
from balsamrail.messages.compression import compress, decompress

# Smaller messages do not shrink.
_MIN_COMPRESSED_BYTES = 400
# The fastest level; the others save a fifth more at three times the processor time.
_COMPRESSION_LEVEL = 1
# The first byte of a zlib stream; an object begins with that of a msgpack array.
_ZLIB_MARKER = b'x'


def pack_objects(objects: Iterable[StoreObject]) -> list[bytes]:
    """Encode objects as msgpack arrays, several of them as one zlib stream.

    Targets differ in few fields, so a listing shrinks to about a fifth.
    """
    packed = [_pack_object(stored) for stored in objects]
    if sum(len(item) for item in packed) < _MIN_COMPRESSED_BYTES:
        return packed
    return [compress(msgpack.packb(packed), level=_COMPRESSION_LEVEL)]


def unpack_objects(packed: Sequence[bytes]) -> list[StoreObject]:
    """Decode the objects of a message.

    :raises PeerError: if an object is malformed.
    """
    try:
        return [_unpack_object(item) for part in packed for item in _unpack_part(part)]
    except Exception as error:
        # Without the cause, whose text may have values of the object, such as API keys.
        reason = type(error).__name__
        raise PeerError(f'malformed object in a feed update: {reason}') from None


def _pack_object(stored: StoreObject) -> bytes:
    revision = stored.revision
    packed: bytes = msgpack.packb([stored.name, revision.era, revision.number, stored.spec])
    return packed


def _unpack_part(part: bytes) -> list[bytes]:
    if not part.startswith(_ZLIB_MARKER):
        return [part]
    unpacked: list[bytes] = msgpack.unpackb(decompress(part))
    return unpacked


def _unpack_object(item: bytes) -> StoreObject:
    name, era, number, spec = msgpack.unpackb(item, strict_map_key=False)
    if type(name) is not str or type(era) is not int or type(number) is not int:
        raise TypeError('name is not a string or revision is not two integers')
    return StoreObject(name=name, revision=Revision(era=era, number=number), spec=spec)
