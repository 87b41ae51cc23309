"""In-memory transport that simulates loss, delay, partitions, silent streams and paused hosts.

It replaces the sockets below ``PeerNetwork``. The event loop has to use ``make_task`` as its task
factory: each task belongs to the host in whose context it was started, and is suspended at its
next await while that host is paused, like a stopped process.
"""

import asyncio
import contextvars
import random
from collections import Counter, deque

from balsamrail.errors import PeerError
from balsamrail.messages import encode_message, unpack_updates

CURRENT_GATE = contextvars.ContextVar('current_gate', default=None)


class Gate:
    """Suspends the tasks of a host while it is paused."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()


class _GatedCoroutine:
    def __init__(self, coroutine, gate):
        self._coroutine = coroutine
        self._gate = gate

    def __await__(self):
        step, argument = self._coroutine.send, None
        while True:
            try:
                awaited = step(argument)
            except StopIteration as end:
                return end.value
            try:
                yield awaited
                step, argument = self._coroutine.send, None
                if not self._gate.open.is_set():
                    yield from self._gate.open.wait().__await__()
            except BaseException as error:
                step, argument = self._coroutine.throw, error
                # A paused process observes neither timeouts nor broken connections.
                while not self._gate.open.is_set():
                    try:
                        yield from self._gate.open.wait().__await__()
                    except BaseException as later:
                        argument = later
                        break


async def _run_gated(coroutine, gate):
    return await _GatedCoroutine(coroutine, gate)


def make_task(loop, coroutine, context=None):
    gate = (context or contextvars.copy_context()).get(CURRENT_GATE)
    if gate is not None and asyncio.iscoroutine(coroutine):
        coroutine = _run_gated(coroutine, gate)
    return asyncio.Task(coroutine, loop=loop, context=context)


class MemoryNetwork:
    """Connects hosts by peer address.

    ``loss`` is the fraction of messages that are lost, ``delay_s`` the delay of each message.
    ``group_by_address`` maps an address to its side of a partition. With ``count_bytes``, the
    size of each message is measured with the real codec.
    """

    def __init__(self, *, loss=0.0, delay_s=0.02, seed=1, count_bytes=False):
        self.loss = loss
        self.delay_s = delay_s
        self.random = random.Random(seed)
        self.acceptor_by_address = {}
        self.group_by_address = {}
        self.streams = []
        self.lost_kinds = set()
        self.count_bytes = count_bytes
        self.sent = Counter()
        self.updates_by_state = Counter()
        self.bytes_by_kind = Counter()
        self.opens = 0

    def transport(self, address):
        return _Transport(self, address)

    def listen(self, address, accept):
        self.acceptor_by_address[address] = (accept, contextvars.copy_context())

    def connected(self, one, other):
        groups = self.group_by_address
        return groups.get(one) == groups.get(other)

    def kill(self, address):
        """Stop listening on the address and close its streams, as if the process had crashed."""
        self.acceptor_by_address.pop(address, None)
        for stream in list(self.streams):
            if stream.own == address:
                stream.close()

    def silence(self, one, other):
        """Make the open streams between two addresses permanently silent."""
        for stream in self.streams:
            if {stream.own, stream.peer.own} == {one, other}:
                stream.silent = True

    async def open(self, own, address):
        self.opens += 1
        await asyncio.sleep(2 * self.delay_s)
        if not self.connected(own, address):
            await asyncio.sleep(3600)
        if address not in self.acceptor_by_address:
            raise PeerError(f'{address} refuses')
        accept, context = self.acceptor_by_address[address]
        local, remote = MemoryStream(self, own), MemoryStream(self, address)
        local.peer, remote.peer = remote, local
        self.streams += [local, remote]
        context.run(asyncio.get_running_loop().create_task, accept(remote))
        return local


class _Transport:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    async def open(self, address):
        return await self._network.open(self._address, address)


class MemoryStream:
    def __init__(self, network, own):
        self.network = network
        self.own = own
        self.peer = None
        self.silent = False
        self.closed = False
        self.received = []
        self.in_transit = deque()
        self.ready = asyncio.Event()

    async def read(self):
        while not self.received and not self.closed:
            self.ready.clear()
            await self.ready.wait()
        messages, self.received = self.received, []
        return () if self.closed else messages

    def write(self, message):
        if self.closed:
            return False
        network = self.network
        kind = type(message).__name__
        network.sent[kind] += 1
        if kind == 'MemberUpdate':
            network.updates_by_state[message.state] += 1
        elif kind == 'MemberUpdates':
            network.updates_by_state.update(update.state for update in unpack_updates(message))
        if network.count_bytes:
            network.bytes_by_kind[kind] += len(encode_message(message))
        lost = self.silent or kind in network.lost_kinds or network.random.random() < network.loss
        if not lost and network.connected(self.own, self.peer.own):
            # The loop runs timers of the same instant in any order; a stream preserves its order.
            self.peer.in_transit.append(message)
            asyncio.get_running_loop().call_later(network.delay_s, self.peer.deliver)
        return True

    def deliver(self):
        self.received.append(self.in_transit.popleft())
        self.ready.set()

    def close(self):
        if not self.closed:
            self.end()
            if not self.silent and self.network.connected(self.own, self.peer.own):
                asyncio.get_running_loop().call_later(self.network.delay_s, self.peer.end)

    def end(self):
        self.closed = True
        self.ready.set()
        if self in self.network.streams:
            self.network.streams.remove(self)
