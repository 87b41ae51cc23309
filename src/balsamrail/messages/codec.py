"""The wire form of messages: msgpack arrays ``[tag, fields...]`` one after the other."""

from collections.abc import Iterator
from dataclasses import fields
from typing import Any, get_args, get_origin

import msgpack

from balsamrail.errors import PeerError
from balsamrail.messages.message import MESSAGE_KINDS, Message

# The largest value is a full record, which the store limits to 1 MB.
_LARGEST_FRAME_BYTES = 2_097_152
_FIELD_TYPES_BY_KIND: dict[Any, tuple[tuple[str, Any, tuple[Any, ...]], ...]] = {
    kind: tuple(
        (field.name, get_origin(field.type) or field.type, get_args(field.type))
        for field in fields(kind)
    )
    for kind in MESSAGE_KINDS
}


def encode_message(message: Message) -> bytes:
    """Return the message as one msgpack array."""
    kind = type(message)
    tag = MESSAGE_KINDS.index(kind)
    cells = [getattr(message, name) for name, _, _ in _FIELD_TYPES_BY_KIND[kind]]
    packed: bytes = msgpack.packb([tag, *cells])
    return packed


class FrameReader:
    """Takes bytes of a stream as they arrive and gives the messages in them.

    Use one reader for each stream::

        reader = FrameReader()
        for message in reader.feed(chunk):
            handle(message)
    """

    __slots__ = ('_unpacker',)

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            raw=False,
            strict_map_key=True,
            max_buffer_size=_LARGEST_FRAME_BYTES,
        )

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Give each message that is complete after ``chunk``.

        :raises PeerError: if the bytes are not msgpack, a frame is too large, or an array is not
            a message. The stream has to be dropped then.
        """
        try:
            self._unpacker.feed(chunk)
            for array in self._unpacker:
                yield _decode(array)
        except PeerError:
            raise
        except Exception as error:
            raise PeerError(f'invalid frame: {error or type(error).__name__}') from error


def _decode(array: Any) -> Message:
    if not isinstance(array, list) or not array:
        raise PeerError('a frame is not an array')
    tag, *cells = array
    if type(tag) is not int or not 0 <= tag < len(MESSAGE_KINDS):
        raise PeerError(f'unknown message tag {tag!r}')
    kind = MESSAGE_KINDS[tag]
    expected = _FIELD_TYPES_BY_KIND[kind]
    if len(cells) != len(expected):
        raise PeerError(f'{kind.__name__} has {len(cells)} fields, not {len(expected)}')
    values: dict[str, Any] = {}
    for (name, outer, inner), cell in zip(expected, cells, strict=True):
        if not _fits(cell, outer, inner):
            raise PeerError(f'{kind.__name__}.{name} has the wrong type')
        values[name] = cell
    return kind(**values)


def _fits(cell: Any, outer: Any, inner: tuple[Any, ...]) -> bool:
    if outer is float:
        return type(cell) in {int, float}
    if type(cell) is not outer:
        return False
    match cell:
        case dict():
            return all(
                type(key) is inner[0] and type(entry) is inner[1] for key, entry in cell.items()
            )
        case list():
            return all(type(entry) is inner[0] for entry in cell)
    return True
