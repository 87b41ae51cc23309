"""Request bodies in pieces, so that a large one is held in memory once."""

from collections.abc import Iterable


class LargeBody:
    """A body of several pieces; ``len(body)`` is its size in bytes."""

    __slots__ = ('_size', 'pieces')

    def __init__(self, *, pieces: list[bytes]) -> None:
        self.pieces = pieces
        self._size = sum(len(piece) for piece in pieces)

    def __len__(self) -> int:
        return self._size


# The body of a request: small ones are plain bytes.
RequestBody = bytes | LargeBody


def pieces_of(body: RequestBody) -> Iterable[bytes]:
    """Return the pieces of a body in their order."""
    return (body,) if isinstance(body, bytes) else body.pieces
