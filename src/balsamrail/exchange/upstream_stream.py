"""The byte stream of an upstream connection."""

import asyncio
import ipaddress
import socket

from tornado.iostream import IOStream, StreamClosedError

from balsamrail.environment import Environment
from balsamrail.errors import AnswerCutOffError, ConnectError, UnsolicitedDataError
from balsamrail.exchange.response_usage import ResponseUsage
from balsamrail.settings.address import split_address

_MS_IN_S = 1_000
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1


class UpstreamStream(IOStream):
    """An :class:`IOStream` that counts the bytes received for a response.

    Bytes that arrive between a response and the next request close the stream, so that they are
    neither taken for the next response nor buffered.
    """

    _address = ''
    _environment: Environment | None = None
    _usage: ResponseUsage | None = None

    @classmethod
    def create(
        cls,
        *,
        address: str,
        user_timeout_s: float,
        buffer_bytes: int,
        has_keepalive_probes: bool = False,
    ) -> 'UpstreamStream':
        """Create a stream with the socket options of upstream connections.

        ``TCP_USER_TIMEOUT`` closes a connection whose peer stopped acknowledging data, so that an
        unreachable peer is detected.

        :param has_keepalive_probes: whether TCP keepalive probes an idle peer each second. With
            ``TCP_USER_TIMEOUT`` set, Linux ignores the number of probes: the connection is closed
            once the peer has been silent for that time and a probe is unanswered.
        """
        number, _ = split_address(address)
        version = ipaddress.ip_address(number).version
        family = socket.AF_INET if version == 4 else socket.AF_INET6
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        if has_keepalive_probes:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        timeout_ms = int(user_timeout_s * _MS_IN_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        return cls(sock, max_buffer_size=buffer_bytes)

    async def open(self, *, address: str, deadline: float) -> None:
        """Connect; the stream is closed on failure.

        :param deadline: event loop time in seconds at which connecting times out.
        :raises ConnectError: if the connection is refused or times out.
        """
        self._address = address
        try:
            async with asyncio.timeout_at(deadline):
                await self.connect(split_address(address))
        except TimeoutError:
            self.close()
            raise ConnectError(detail='connecting timed out', has_timed_out=True)
        except (OSError, StreamClosedError) as error:
            self.close()
            cause = getattr(error, 'real_error', None) or error
            raise ConnectError(detail=f'cannot connect: {cause}', has_timed_out=False)
        except BaseException:
            self.close()
            raise

    def begin_response(self, environment: Environment) -> None:
        """Start to account received bytes to one response."""
        self._environment = environment
        self._usage = environment.answer_memory.open(abort=self._abort)

    def end_response(self) -> None:
        """End the accounting of the response; its bytes are consumed or discarded."""
        if self._environment is not None and self._usage is not None:
            self._environment.answer_memory.close(self._usage)
        self._usage = None
        # A close callback keeps tornado reading while the stream is idle. Without one, tornado
        # stops reading after a response that was received in a single read.
        self.set_close_callback(_on_close)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; return ``None`` if the bytes cause the stream to close."""
        count = super().read_from_fd(buf)
        if not count or self._environment is None:
            return count
        if self._usage is None:
            self._close_on_stray_bytes(self._environment)
        else:
            self._environment.answer_memory.add_bytes(self._usage, count)
        return None if self.closed() else count

    def is_idle(self) -> bool:
        """Return whether the stream is open with nothing left to read or write.

        Must be called between two responses; a stream with unread bytes is closed.
        """
        if self.closed() or self.writing():
            return False
        try:
            has_unread_bytes = self._read_buffer_size or self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # An empty read is the end of the stream.
        if has_unread_bytes and self._environment is not None:
            self._close_on_stray_bytes(self._environment)
        return False

    def _close_on_stray_bytes(self, environment: Environment) -> None:
        environment.metrics.count('connections_with_stray_bytes')
        environment.log.event('stray_bytes', address=self._address)
        self.close(exc_info=UnsolicitedDataError(f'{self._address} sent bytes after its response'))

    def _abort(self, reason: str) -> None:
        self.close(exc_info=AnswerCutOffError(reason))


def _on_close() -> None:
    """Do nothing; users of the stream check its state."""
