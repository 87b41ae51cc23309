"""The stream below a connection to an upstream."""

import asyncio
import ipaddress
import socket

from tornado.iostream import IOStream, StreamClosedError

from balsamrail.environment import Environment
from balsamrail.errors import AnswerCutOffError, ConnectError, StrayBytesError
from balsamrail.exchange.answer_receipt import AnswerReceipt
from balsamrail.settings.address import split_address

_MS_IN_S = 1_000
_PROBE_IDLE_S = 1
_PROBE_INTERVAL_S = 1
_PROBES = 2


class UpstreamStream(IOStream):
    """An :class:`IOStream` that counts what it receives for an answer.

    Bytes that arrive after an answer and before the next request belong to no answer. They close
    the stream, so that they are neither taken for the next answer nor collected.
    """

    _address = ''
    _environment: Environment | None = None
    _receipt: AnswerReceipt | None = None

    @classmethod
    def unconnected(
        cls,
        *,
        address: str,
        user_timeout_s: float,
        buffer_bytes: int,
        is_probed: bool = False,
    ) -> 'UpstreamStream':
        """Make a stream with the socket options of upstream connections.

        ``TCP_USER_TIMEOUT`` ends a connection whose peer stopped acknowledging, so that a silent
        one is found without an answer from the other side.

        :param is_probed: whether the system asks an idle peer each second whether it is there,
            and ends the connection after two questions without an answer.
        """
        number, _ = split_address(address)
        version = ipaddress.ip_address(number).version
        family = socket.AF_INET if version == 4 else socket.AF_INET6
        sock = socket.socket(family, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        if is_probed:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_IDLE_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
        timeout_ms = int(user_timeout_s * _MS_IN_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
        return cls(sock, max_buffer_size=buffer_bytes)

    async def open(self, *, address: str, deadline: float) -> None:
        """Connect, or close the stream.

        :param deadline: the loop's time in seconds at which the attempt is given up.
        :raises ConnectError: if it is refused or not open by then.
        """
        self._address = address
        try:
            async with asyncio.timeout_at(deadline):
                await self.connect(split_address(address))
        except TimeoutError:
            self.close()
            raise ConnectError(detail='connecting took too long', has_timed_out=True)
        except (OSError, StreamClosedError) as error:
            self.close()
            cause = getattr(error, 'real_error', None) or error
            raise ConnectError(detail=f'cannot connect: {cause}', has_timed_out=False)
        except BaseException:
            self.close()
            raise

    def begin_answer(self, environment: Environment) -> None:
        """Count what is received from now on as bytes of one answer."""
        self._environment = environment
        self._receipt = environment.answer_memory.open(cut=self._cut_off)

    def end_answer(self) -> None:
        """Count the answer no longer; its bytes are passed on or dropped."""
        if self._environment is not None and self._receipt is not None:
            self._environment.answer_memory.close(self._receipt)
        self._receipt = None
        # A stream with a close callback listens while it is idle; tornado stops listening after
        # an answer that was read at one go otherwise.
        self.set_close_callback(_ignore)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read from the socket; nothing if the bytes make the stream close."""
        count = super().read_from_fd(buf)
        if not count or self._environment is None:
            return count
        if self._receipt is None:
            self._close_stray(self._environment)
        else:
            self._environment.answer_memory.take(self._receipt, count)
        return None if self.closed() else count

    def is_idle(self) -> bool:
        """Return whether the stream is open with nothing left to read or write.

        Called between two answers; a stream on which unread bytes wait is closed.
        """
        if self.closed() or self.writing():
            return False
        try:
            waits = self._read_buffer_size or self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # Otherwise it is the end of the stream.
        if waits and self._environment is not None:
            self._close_stray(self._environment)
        return False

    def _close_stray(self, environment: Environment) -> None:
        environment.metrics.count('connections_with_stray_bytes')
        environment.log.event('stray_bytes', address=self._address)
        self.close(exc_info=StrayBytesError(f'{self._address} sent bytes after its answer'))

    def _cut_off(self, reason: str) -> None:
        self.close(exc_info=AnswerCutOffError(reason))


def _ignore() -> None:
    """Do nothing when the stream closes; its user looks at the stream's state."""
