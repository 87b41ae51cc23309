"""Compression of the contents of large messages."""

import zlib

# Larger than any content that a host sends.
_MAX_UNPACKED_BYTES = 16_777_216


def compress(content: bytes, *, level: int) -> bytes:
    """Return a zlib stream of ``content``.

    :param level: from 1, the fastest, to 9.
    """
    return zlib.compress(content, level)


def decompress(stream: bytes) -> bytes:
    """Return the content of a zlib stream.

    :raises ValueError: if the stream is truncated or its content is larger than 16 MB.
    :raises zlib.error: if it is not a zlib stream.
    """
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(stream, _MAX_UNPACKED_BYTES)
    if not decompressor.eof:
        raise ValueError('the compressed content is truncated or too large')
    return content
