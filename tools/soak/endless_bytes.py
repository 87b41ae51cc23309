"""Responses that never end, in the head or in the body."""

import asyncio
import random
from dataclasses import dataclass

from tools.soak.http_head import message

_STATUS = b'HTTP/1.1 200 OK\r\n'
_FAST_BYTES = 65_536
# About 13 MB/s, so that one stream leaves processor time for the rest of the run.
_FAST_PAUSE_S = 0.005
_DRIP_PAUSE_S = 0.02
_IDLE_S = 0.2
# Upper bound for a stream whose close by the client is lost in transit.
_LONGEST_S = 8.0


@dataclass(slots=True, kw_only=True)
class EndlessBytes:
    """A response of a target that continues until the client closes the connection.

    :param start: id and start number of the target.
    :param first: the bytes before the repeated ones.
    :param is_lost: whether an injected fault lost the bytes or the close of the client.
    """

    request_id: str
    start: str
    form: str
    first: bytes
    repeated: bytes
    is_dripping: bool
    begin: float = 0
    end: float = float('inf')
    is_lost: bool = False

    def is_whole(self) -> bool:
        """Return whether a complete response precedes the repeated bytes."""
        return self.form in {'surplus body', 'idle connection'}

    async def send(self, writer: asyncio.StreamWriter) -> None:
        """Write until the client closes the connection.

        :raises OSError: when the client has closed it.
        """
        loop = asyncio.get_running_loop()
        self.begin = loop.time()
        many = self.repeated * (_FAST_BYTES // len(self.repeated) + 1)
        position = 0
        try:
            writer.write(self.first)
            await writer.drain()
            await asyncio.sleep(_IDLE_S if self.form == 'idle connection' else 0)
            while loop.time() - self.begin < _LONGEST_S and not writer.is_closing():
                writer.write(many[position : position + 1] if self.is_dripping else many)
                position = (position + 1) % len(self.repeated)
                await writer.drain()
                await asyncio.sleep(_DRIP_PAUSE_S if self.is_dripping else _FAST_PAUSE_S)
        finally:
            self.end = loop.time()


def draw_endless(
    *,
    random_source: random.Random,
    request_id: str,
    start: str,
    body: bytes,
    headers: dict[str, str],
) -> EndlessBytes:
    """Return a response that never ends, in a random form.

    :param body: the body of the regular response of the target.
    """
    fields = ''.join(f'{name}: {text}\r\n' for name, text in headers.items()).encode()
    chunked = _STATUS + fields + b'Transfer-Encoding: chunked\r\n\r\n'
    whole = message(200, body, headers)
    forms = {
        'status line': (b'HTTP/1.1 200 ', b'O'),
        'header field': (_STATUS + fields + b'X-Long: ', b'v'),
        'header fields': (_STATUS + fields, b'X-Field: v\r\n'),
        'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'no protocol': (b'', b'\x00\xffnothing\r\n'),
        'body until close': (_STATUS + fields + b'\r\n' + body, b'x'),
        'chunks': (chunked, b'a\r\n0123456789\r\n'),
        'chunk extension': (chunked + b'a;name=', b'v'),
        'trailers': (chunked + b'%x\r\n%s\r\n0\r\n' % (len(body), body), b'X-Trailer: v\r\n'),
        'surplus body': (whole, b'x'),
        'idle connection': (whole, b'x'),
    }
    form = random_source.choice(sorted(forms))
    return EndlessBytes(
        request_id=request_id,
        start=start,
        form=form,
        first=forms[form][0],
        repeated=forms[form][1],
        is_dripping=random_source.random() < 0.5,
    )
