"""Minimal HTTP/1.1 client and message helpers without validation."""

import asyncio
from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class Head:
    """A start line and headers by lower-case name."""

    start: list[str]
    headers: dict[str, str]

    def length(self) -> int:
        """Return the length of the body in bytes."""
        return int(self.headers.get('content-length', '0'))


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a message head.

    :raises asyncio.IncompleteReadError: if the connection is closed before the head is complete.
    """
    lines = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1').split('\r\n')
    pairs = (line.partition(':') for line in lines[1:] if line)
    return Head(
        start=lines[0].split(' ', 2),
        headers={name.strip().lower(): value.strip() for name, _, value in pairs},
    )


def message(status: int, body: bytes, headers: dict[str, str]) -> bytes:
    """Return a complete response."""
    lines = ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{lines}\r\n'
    return head.encode() + body


async def get(address: str, path: str, *, timeout_s: float) -> tuple[Head, bytes]:
    """Send a GET request on a new connection; return the response."""
    number, port = address.split(':')
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(number, int(port))
        try:
            writer.write(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            head = await read_head(reader)
            return head, await reader.readexactly(head.length())
        finally:
            writer.close()
