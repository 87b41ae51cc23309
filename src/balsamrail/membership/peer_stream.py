"""A stream of messages over TCP."""

from collections.abc import Sequence

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from balsamrail.environment import Environment
from balsamrail.messages import FrameReader, Message, encode_message

_CHUNK_BYTES = 65_536
# The size of the largest frame. A peer that is further behind is too slow, and missed messages
# are recovered over a new stream.
_MAX_WRITE_BUFFER_BYTES = 2_097_152


class PeerStream:
    """Messages over a Tornado stream that was opened or accepted with :func:`stream_limits`.

    The write buffer is bounded, so the stream to a peer that reads too slowly is closed.
    """

    __slots__ = ('_environment', '_reader', '_stream')

    def __init__(self, *, environment: Environment, stream: IOStream) -> None:
        self._environment = environment
        self._stream = stream
        self._reader = FrameReader()
        stream.set_nodelay(True)

    async def read(self) -> Sequence[Message]:
        """Return the next messages; see :class:`~balsamrail.membership.stream.Stream`."""
        messages: list[Message] = []
        while not messages:
            try:
                chunk = await self._stream.read_bytes(_CHUNK_BYTES, partial=True)
            except StreamClosedError:
                return ()
            messages.extend(self._reader.feed(chunk))
        return messages

    def write(self, message: Message) -> bool:
        """Queue a message; close the stream if the write buffer is full."""
        try:
            self._stream.write(encode_message(message))
        except StreamBufferFullError:
            self._environment.metrics.count('peer_streams_too_slow')
            self._environment.log.event('peer_stream_too_slow', kind=type(message).__name__)
            self._stream.close()
            return False
        except StreamClosedError:
            return False
        return not self._stream.closed()

    def close(self) -> None:
        """Close the stream at once."""
        self._stream.close()


def stream_limits() -> dict[str, int]:
    """Return the keyword arguments that bound the buffers of a Tornado stream.

    The read buffer does not have to hold whole frames, since they are assembled by
    :class:`~balsamrail.messages.FrameReader`.
    """
    return {
        'max_buffer_size': 2 * _CHUNK_BYTES,
        'read_chunk_size': _CHUNK_BYTES,
        'max_write_buffer_size': _MAX_WRITE_BUFFER_BYTES,
    }
