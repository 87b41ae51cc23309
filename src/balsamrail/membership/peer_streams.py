"""Lifecycle of the peer streams of one host."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from balsamrail.environment import Environment
from balsamrail.errors import PeerError
from balsamrail.membership.link_table import LinkTable
from balsamrail.membership.members import Members
from balsamrail.membership.peer_link import PeerLink
from balsamrail.membership.stream import Stream
from balsamrail.membership.transport import Transport
from balsamrail.membership.update_batcher import UpdateBatcher
from balsamrail.membership.updates import make_hello
from balsamrail.messages import Hello, MemberUpdate, Message

ResultT = TypeVar('ResultT')

# Sufficient for a connection between regions, and well below ``suspect_after_s``.
_OPEN_TIMEOUT_S = 1.5


class PeerStreams:
    """Opens, accepts and serves streams; one task serves each stream after the handshake.

    :param receive_hello: called with each new link and the peer's :class:`Hello`.
    :param receive: called with each further message.
    """

    __slots__ = (
        '_batcher',
        '_environment',
        '_members',
        '_open_task_by_address',
        '_receive',
        '_receive_hello',
        '_tasks',
        '_transport',
        'links',
    )

    def __init__(
        self,
        *,
        environment: Environment,
        members: Members,
        transport: Transport,
        receive_hello: Callable[[PeerLink, Hello], None],
        receive: Callable[[PeerLink, Message], None],
    ) -> None:
        self._environment = environment
        self._members = members
        self._transport = transport
        self._receive_hello = receive_hello
        self._receive = receive
        self._open_task_by_address: dict[str, asyncio.Task[PeerLink | None]] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self.links = LinkTable()
        self._batcher = UpdateBatcher(
            environment=environment, write=self._write_now, spawn=self.spawn
        )

    def close(self) -> None:
        """Send what waits, close all streams and cancel their tasks."""
        for link in self.links:
            self._batcher.flush(link)
        for task in self._tasks:
            task.cancel()
        self.links.close()

    def spawn(self, coroutine: Coroutine[Any, Any, ResultT]) -> asyncio.Task[ResultT]:
        """Run a coroutine as a task that :meth:`close` cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def is_opening(self, address: str) -> bool:
        """Return whether a stream to the address is being opened."""
        return address in self._open_task_by_address

    def open(self, address: str) -> asyncio.Task[PeerLink | None]:
        """Open a stream to a peer address; the result is ``None`` if the attempt fails.

        Concurrent calls for the same address share one attempt.
        """
        task = self._open_task_by_address.get(address)
        if task is None:
            task = self.spawn(self._open(address))
            self._open_task_by_address[address] = task
            task.add_done_callback(lambda _: self._open_task_by_address.pop(address, None))
        return task

    async def accept(self, stream: Stream) -> None:
        """Serve a stream that another host opened, until it ends."""
        try:
            async with asyncio.timeout(_OPEN_TIMEOUT_S):
                first = await stream.read()
            if first:
                stream.write(make_hello(self._members.local_member()))
                link = self._register(stream, first[0], is_outbound=False)
                await self._serve(link, list(first[1:]))
        except TimeoutError:
            self._environment.metrics.count('peer_streams_without_hello')
        except PeerError as error:
            self._report_invalid(peer='unknown', error=error)
        finally:
            stream.close()

    def write(self, link: PeerLink, message: Message) -> bool:
        """Write a message to a link, which is dropped if its stream rejects the message.

        Member updates may wait for others for a short time. Messages keep their order.
        """
        if isinstance(message, MemberUpdate):
            return self._batcher.add(link, message)
        return self._batcher.flush(link) and self._write_now(link, message)

    def _write_now(self, link: PeerLink, message: Message) -> bool:
        if link.stream.write(message):
            return True
        self.links.drop(link)
        return False

    async def _open(self, address: str) -> PeerLink | None:
        try:
            async with asyncio.timeout(_OPEN_TIMEOUT_S):
                stream = await self._transport.open(address)
        except (PeerError, TimeoutError):
            self._environment.metrics.count('peer_opens_failed')
            return None
        link: PeerLink | None = None
        try:
            stream.write(make_hello(self._members.local_member()))
            async with asyncio.timeout(_OPEN_TIMEOUT_S):
                first = await stream.read()
            if first:
                link = self._register(stream, first[0], is_outbound=True)
                self.spawn(self._serve(link, list(first[1:])))
        except TimeoutError:
            self._environment.metrics.count('peer_opens_unanswered')
        except PeerError as error:
            self._report_invalid(peer=address, error=error)
        finally:
            if link is None:
                stream.close()
        return link

    def _register(self, stream: Stream, hello: Message, *, is_outbound: bool) -> PeerLink:
        if not isinstance(hello, Hello):
            raise PeerError(f'the first message is {type(hello).__name__}, not Hello')
        now = self._environment.clock.monotonic()
        link = PeerLink(
            host=hello.host,
            stream=stream,
            is_outbound=is_outbound,
            last_received_at=now,
            last_used_at=now,
        )
        self.links.add(link)
        self._receive_hello(link, hello)
        return link

    async def _serve(self, link: PeerLink, messages: list[Message]) -> None:
        try:
            self._receive_all(link, messages)
            while arrived := await link.stream.read():
                self._receive_all(link, list(arrived))
        except PeerError as error:
            self._report_invalid(peer=link.host, error=error)
        finally:
            self.links.drop(link)

    def _receive_all(self, link: PeerLink, messages: list[Message]) -> None:
        for message in messages:
            link.last_received_at = self._environment.clock.monotonic()
            self._receive(link, message)

    def _report_invalid(self, *, peer: str, error: PeerError) -> None:
        self._environment.metrics.count('peer_streams_invalid')
        self._environment.log.event('peer_stream_invalid', peer=peer, reason=str(error))
