"""Callers that misbehave, many at once."""

import asyncio
import contextlib
import itertools
import socket
import string

from entry_fleet import HOST_NAME

# Each crowd exceeds the memory or the descriptors of a host that keeps what it gets: 60 bodies take
# 59 MB, beside some 37 MB that a process takes without requests.
BODIES = 60
BODY_BYTES = 990_000
PIECE_BYTES = 1_000
TINY_BODIES = 8
# Headers of 16 KiB take about 0.4 MB each when they consist of short fields.
SHORT_FIELDS = 150
TINY_BYTES = 60_000
# Three times the largest body that the host of the test accepts.
EXCESS_BYTES = 3_000_000
ANNOUNCED_BYTES = 50_000_000
PIPELINING = 10
PIPELINED = 400
HALF_HEADERS = 450
HEADER_BYTES = 16_384
# Ends the scenario when the host reads nothing any more; not a bound of the test.
_PATIENCE_S = 45
_ZEROS = memoryview(bytes(EXCESS_BYTES))
_CHUNK = b'%x\r\n' % PIECE_BYTES + bytes(PIECE_BYTES) + b'\r\n'
_TINY_CHUNK = b'1\r\nx\r\n'
_NAME_CHARACTERS = string.ascii_lowercase + string.digits


def short_fields(total_bytes):
    """Return header lines of two bytes, besides the colon and the line break."""
    names = itertools.product(_NAME_CHARACTERS, repeat=2)
    lines = itertools.cycle([f'{first}{second}:\r\n' for first, second in names])
    return ''.join(itertools.islice(lines, total_bytes // len('aa:\r\n')))


def head_of(method, path, *lines, is_filled=False):
    """Return a request header, filled up to the platform's limit with short fields if asked."""
    lines = (f'{method} {path} HTTP/1.1', f'Host: {HOST_NAME}', 'X-Request-Id: c', *lines, '')
    head = '\r\n'.join(lines)
    fields = short_fields(HEADER_BYTES - len(head) - 2) if is_filled else ''
    return f'{head}{fields}\r\n'.encode()


def crowd_of(kind, *, method, path):
    """Return the number of connections of a crowd, and the parts that each of them sends."""
    length = f'Content-Length: {BODY_BYTES}'
    chunked = 'Transfer-Encoding: chunked'
    count = BODY_BYTES // PIECE_BYTES
    match kind:
        case 'bodies one byte short':
            return BODIES, [head_of(method, path, length), _ZEROS[: BODY_BYTES - 1]]
        case 'bodies one byte short in pieces':
            pieces = [_ZEROS[:PIECE_BYTES]] * (count - 1)
            return BODIES, [head_of(method, path, length), *pieces, _ZEROS[: PIECE_BYTES - 1]]
        case 'bodies one chunk short':
            return BODIES, [head_of(method, path, chunked), *[_CHUNK] * (count - 1)]
        case 'bodies in one-byte chunks':
            body = memoryview(_TINY_CHUNK * TINY_BYTES)
            return TINY_BODIES, [head_of(method, path, chunked), body]
        case 'bodies with a length over the limit':
            announced = f'Content-Length: {ANNOUNCED_BYTES}'
            return BODIES, [head_of(method, path, announced), _ZEROS]
        case 'chunks without end':
            chunks = memoryview(_CHUNK * (EXCESS_BYTES // PIECE_BYTES))
            return BODIES, [head_of(method, path, chunked), chunks]
        case 'short header fields':
            return SHORT_FIELDS, [head_of(method, path, 'Content-Length: 2', is_filled=True), b'x']
        case 'pipelined requests':
            return PIPELINING, [head_of('GET', path) * PIPELINED]
        case 'half a header':
            return HALF_HEADERS, [head_of('GET', path)[:-2]]
    raise ValueError(kind)


class Crowd:
    """Connections to one address whose callers send what they want and read nothing."""

    def __init__(self, *, address):
        number, _, port = address.rpartition(':')
        self._address = (number, int(port))
        self._sockets = []

    async def send(self, count, parts):
        """Send ``parts`` over ``count`` connections, as far as the host reads them."""
        sends = [asyncio.create_task(self._send_one(parts)) for _ in range(count)]
        _, late = await asyncio.wait(sends, timeout=_PATIENCE_S)
        for each in late:
            each.cancel()

    def leave(self):
        """Close all connections."""
        for sock in self._sockets:
            sock.close()

    async def _send_one(self, parts):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        # A host may refuse a caller or close its connection at any time.
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._address)
            for part in parts:
                await loop.sock_sendall(sock, part)
                await asyncio.sleep(0)
