"""An in-memory transport with loss, delay, cuts, silent streams and pauses of hosts.

It stands in for sockets below ``PeerNetwork``. Use it on a loop whose task factory is
``make_task``: each task belongs to the host in whose context it was started, and stops at its
next await while that host is paused, as a stopped process does.
"""

import asyncio
import contextvars
import random
from collections import Counter, deque

from balsamrail.errors import PeerError
from balsamrail.messages import encode_message

CURRENT_GATE = contextvars.ContextVar('current_gate', default=None)


class Gate:
    """Holds the tasks of one host while it is paused."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()


class _Gated:
    def __init__(self, work, gate):
        self._work = work
        self._gate = gate

    def __await__(self):
        step, argument = self._work.send, None
        while True:
            try:
                awaited = step(argument)
            except StopIteration as end:
                return end.value
            try:
                yield awaited
                step, argument = self._work.send, None
                if not self._gate.open.is_set():
                    yield from self._gate.open.wait().__await__()
            except BaseException as error:
                step, argument = self._work.throw, error
                # A paused process notices neither a timeout nor a broken connection.
                while not self._gate.open.is_set():
                    try:
                        yield from self._gate.open.wait().__await__()
                    except BaseException as later:
                        argument = later
                        break


async def _run_gated(work, gate):
    return await _Gated(work, gate)


def make_task(loop, work, context=None):
    gate = (context or contextvars.copy_context()).get(CURRENT_GATE)
    if gate is not None and asyncio.iscoroutine(work):
        work = _run_gated(work, gate)
    return asyncio.Task(work, loop=loop, context=context)


class MemoryNetwork:
    """Connects hosts by peer address.

    ``loss`` is the fraction of messages that vanish, ``delay_s`` the delay of each. ``groups``
    maps an address to its side of a cut. With ``count_bytes`` the real codec sizes each message.
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
        """Close the address and end its streams, as the death of a process does."""
        self.acceptor_by_address.pop(address, None)
        for stream in list(self.streams):
            if stream.own == address:
                stream.close()

    def silence(self, one, other):
        """Make the open streams between two addresses silent for good."""
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
        near, far = MemoryStream(self, own), MemoryStream(self, address)
        near.peer, far.peer = far, near
        self.streams += [near, far]
        context.run(asyncio.get_running_loop().create_task, accept(far))
        return near


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
        self.arrived = []
        self.on_the_way = deque()
        self.ready = asyncio.Event()

    async def read(self):
        while not self.arrived and not self.closed:
            self.ready.clear()
            await self.ready.wait()
        messages, self.arrived = self.arrived, []
        return () if self.closed else messages

    def write(self, message):
        if self.closed:
            return False
        network = self.network
        kind = type(message).__name__
        network.sent[kind] += 1
        if network.count_bytes:
            network.bytes_by_kind[kind] += len(encode_message(message))
        lost = self.silent or kind in network.lost_kinds or network.random.random() < network.loss
        if not lost and network.connected(self.own, self.peer.own):
            # The loop runs timers of the same instant in any order, but a stream keeps its order.
            self.peer.on_the_way.append(message)
            asyncio.get_running_loop().call_later(network.delay_s, self.peer.put)
        return True

    def put(self):
        self.arrived.append(self.on_the_way.popleft())
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
