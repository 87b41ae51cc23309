"""Collects the body of a request while it arrives."""

from balsamrail.exchange.large_body import LargeBody, RequestBody

# Smaller pieces would take several times their length in memory.
_PIECE_BYTES = 65_536


class BodyCollector:
    """Keeps the received parts of a body as pieces that are not joined again.

    Parts of a few bytes are joined into pieces of 64 KiB::

        collector = BodyCollector()
        collector.append(b'chunk')
        request.body = collector.take()
    """

    __slots__ = ('_pieces', '_tail', 'size')

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        # The first part is kept as it is, since most bodies consist of one.
        self._tail: bytes | bytearray = b''
        self.size = 0

    def append(self, part: bytes) -> None:
        """Add the next part of the body."""
        self.size += len(part)
        if not self._tail:
            self._tail = part
        elif isinstance(self._tail, bytearray):
            self._tail += part
        else:
            self._tail = bytearray(self._tail)
            self._tail += part
        if len(self._tail) >= _PIECE_BYTES:
            self._pieces.append(bytes(self._tail))
            self._tail = b''

    def take(self) -> RequestBody:
        """Return the body, and forget it."""
        pieces, self._pieces = self._pieces, []
        if self._tail:
            pieces.append(bytes(self._tail))
            self._tail = b''
        if len(pieces) > 1:
            return LargeBody(pieces=pieces)
        return pieces[0] if pieces else b''
