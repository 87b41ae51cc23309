"""A server in separate threads that sends bytes until its peer closes the connection."""

import socket
import threading
import time

from delivery_parts import response_to

_BLOCK_BYTES = 65_536
# Interval between the bytes of a slow sender.
_BYTE_INTERVAL_S = 0.002
# Limits a flood that blocks the event loop of the host, so that the scenario fails by its time limit
# instead of hanging.
_MAX_FLOOD_S = 20
_CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'

# By name, the bytes that are sent once and the bytes that are then sent repeatedly.
FLOODS = {
    'no HTTP': (b'', b'\0'),
    'empty lines': (b'', b'\r\n'),
    'a status line': (b'HTTP/1.1 200 ', b'x'),
    'a header field': (b'HTTP/1.1 200 OK\r\nX-Long: ', b'x'),
    'header fields': (b'HTTP/1.1 200 OK\r\n', b'X-More: x\r\n'),
    'interim answers': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'a chunk extension': (_CHUNKED + b'3;x=', b'x'),
    'trailers': (_CHUNKED + b'3\r\nabc\r\n0\r\n', b'X-More: x\r\n'),
    'a chunked body': (_CHUNKED, b'1000\r\n' + b'x' * 0x1000 + b'\r\n'),
    'chunks of a byte': (_CHUNKED, b'1\r\nx\r\n'),
    'a body without a length': (b'HTTP/1.1 200 OK\r\n\r\n', b'x'),
    'answers of another request': (b'', response_to({'x-request-id': 'other'}, b'')),
}


class FloodServer:
    """Reads a request on each connection, then sends ``prefix`` and endlessly ``repeated``.

    It runs in threads, since a sender in the event loop of the host could never keep the socket
    buffer of the host full.

    :param prefix: the bytes, or a function that returns them for the headers of the request.
    :param pause_s: pause between ``prefix`` and ``repeated``, in seconds.
    """

    def __init__(self, prefix, repeated, *, is_byte_by_byte=False, pause_s=0):
        self.prefix = prefix if callable(prefix) else lambda headers: prefix
        self.repeated = repeated
        self.is_byte_by_byte = is_byte_by_byte
        self.pause_s = pause_s
        self.connections = 0
        self.closed = 0
        self.heads = []
        self.sent_bytes = 0
        self._sockets = []
        self._is_stopped = False
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'

    async def start(self):
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def stop(self):
        self._is_stopped = True
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for each in self._sockets:
            each.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        head = self._read_head(connection)
        if not head:
            return
        # Connections without a request are not counted: they only probe reachability.
        self.connections += 1
        self.heads.append(head)
        lines = [line.partition(': ') for line in head.split('\r\n')[1:-2]]
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.sendall(self.prefix({name.lower(): value for name, _, value in lines}))
            time.sleep(self.pause_s)
            self._flood(connection, time.monotonic() + _MAX_FLOOD_S)
        except OSError:
            if not self._is_stopped:
                self.closed += 1
        connection.close()

    def _read_head(self, connection):
        head = b''
        while b'\r\n\r\n' not in head:
            try:
                part = connection.recv(_BLOCK_BYTES)
            except OSError:
                return ''
            if not part:
                return ''
            head += part
        return head.decode()

    def _flood(self, connection, end):
        if not self.is_byte_by_byte:
            block = self.repeated * max(1, _BLOCK_BYTES // len(self.repeated))
            while time.monotonic() < end:
                connection.sendall(block)
                self.sent_bytes += len(block)
            return
        while time.monotonic() < end:
            for byte in self.repeated:
                connection.sendall(bytes((byte,)))
                self.sent_bytes += 1
                time.sleep(_BYTE_INTERVAL_S)
