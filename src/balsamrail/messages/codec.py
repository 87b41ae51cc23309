"""Wire format of messages: a sequence of msgpack arrays ``[tag, fields...]``."""

from collections.abc import Iterator
from dataclasses import fields
from typing import Any, get_args, get_origin

import msgpack

from balsamrail.errors import PeerError
from balsamrail.messages.message import MESSAGE_KINDS, Message

# Leaves room for the largest value, a full record, which the store limits to 1 MB.
_MAX_FRAME_BYTES = 2_097_152
_FIELD_TYPES_BY_KIND: dict[Any, tuple[tuple[str, Any, tuple[Any, ...]], ...]] = {
    kind: tuple(
        (field.name, get_origin(field.type) or field.type, get_args(field.type))
        for field in fields(kind)
    )
    for kind in MESSAGE_KINDS
}


def encode_message(message: Message) -> bytes:
    """Encode a message as a msgpack array."""
    kind = type(message)
    tag = MESSAGE_KINDS.index(kind)
    field_values = [getattr(message, name) for name, _, _ in _FIELD_TYPES_BY_KIND[kind]]
    packed: bytes = msgpack.packb([tag, *field_values])
    return packed


class FrameReader:
    """Incremental decoder of a stream of messages.

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
            max_buffer_size=_MAX_FRAME_BYTES,
        )

    def feed(self, chunk: bytes) -> Iterator[Message]:
        """Yield each message that is complete after ``chunk``.

        :raises PeerError: if the bytes are not msgpack, a frame is too large, or an array is not
            a message. The stream has to be closed then.
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
    tag, *field_values = array
    if type(tag) is not int or not 0 <= tag < len(MESSAGE_KINDS):
        raise PeerError(f'unknown message tag {tag!r}')
    kind = MESSAGE_KINDS[tag]
    expected = _FIELD_TYPES_BY_KIND[kind]
    if len(field_values) != len(expected):
        raise PeerError(f'{kind.__name__} has {len(field_values)} fields, not {len(expected)}')
    values: dict[str, Any] = {}
    for (name, value_type, item_types), value in zip(expected, field_values, strict=True):
        if not _matches_type(value, value_type, item_types):
            raise PeerError(f'{kind.__name__}.{name} has the wrong type')
        values[name] = value
    return kind(**values)


def _matches_type(value: Any, value_type: Any, item_types: tuple[Any, ...]) -> bool:
    if value_type is float:
        return type(value) in {int, float}
    if type(value) is not value_type:
        return False
    match value:
        case dict():
            return all(
                type(key) is item_types[0] and type(item) is item_types[1]
                for key, item in value.items()
            )
        case list():
            return all(type(item) is item_types[0] for item in value)
    return True
