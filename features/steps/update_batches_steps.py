"""Steps of update_batches.feature."""

import asyncio
import zlib
from types import SimpleNamespace

import msgpack
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies

from balsamrail.errors import PeerError
from balsamrail.membership.members import Members
from balsamrail.membership.peer_link import PeerLink
from balsamrail.membership.peer_streams import PeerStreams
from balsamrail.membership.updates import make_update
from balsamrail.messages import (
    MemberDigest,
    MemberUpdate,
    MemberUpdates,
    encode_message,
    pack_updates,
    unpack_updates,
)
from features.steps.memory_fleet import make_fleet, run
from features.steps.platform_helpers import make_environment, make_member
from features.steps.virtual_time import run_virtual

SETTLE_S = 5
EXPANDED_BYTES = 17_000_000


@given('a fleet of {size:d} hosts that counts bytes')
def step_fleet(context, size):
    make_fleet(context, size=size, delay_s=0.01, count_bytes=True)
    run(context, asyncio.sleep(SETTLE_S))


@when('{count:d} hosts announce themselves again within {seconds:g} s')
def step_announce(context, count, seconds):
    fleet = context.fleet
    context.announced = fleet.hosts[:count]

    async def main():
        fleet.network.bytes_by_kind.clear()
        fleet.network.updates_by_state.clear()
        for host in context.announced:
            own = host.members.local_member()
            host.members._announce_local_state('alive', own.refutation + 1)
            await asyncio.sleep(seconds / count)

    run(context, main())


@then('every host knows all announcements {seconds:g} s later')
def step_known(context, seconds):
    run(context, asyncio.sleep(seconds))
    missing = [
        (host.name, announced.name)
        for host in context.fleet.hosts
        for announced in context.announced
        if host.members.get(announced.name).refutation < 1
    ]
    assert not missing, (len(missing), missing[:5])


@then('they took at most a third of the bytes of single updates')
def step_bytes(context):
    network = context.fleet.network
    member = context.announced[0].members.local_member()
    single_bytes = len(encode_message(make_update(member, observer=member.host)))
    sent_bytes = sum(network.bytes_by_kind[kind] for kind in ('MemberUpdate', 'MemberUpdates'))
    count = network.updates_by_state['alive']
    print(f'{count} updates took {sent_bytes} bytes, one alone takes {single_bytes}')
    assert sent_bytes <= single_bytes * count / 3, (sent_bytes, single_bytes, count)


class RecordingStream:
    def __init__(self):
        self.messages = []
        self.is_closed = False

    def write(self, message):
        if self.is_closed:
            return False
        self.messages.append(message)
        return True

    def close(self):
        self.is_closed = True

    def hosts(self):
        """Return the hosts of all updates in order, with '|' for other messages."""
        hosts = []
        for message in self.messages:
            match message:
                case MemberUpdate():
                    hosts.append(f'{message.host}{message.refutation}')
                case MemberUpdates():
                    updates = unpack_updates(message)
                    hosts.extend(f'{update.host}{update.refutation}' for update in updates)
                case _:
                    hosts.append('|')
        return hosts


def _make_streams():
    environment = make_environment(host='own')
    streams = PeerStreams(
        environment=environment,
        members=Members(environment=environment),
        transport=SimpleNamespace(),
        receive_hello=lambda *_: None,
        receive=lambda *_: None,
    )
    link = PeerLink(
        host='peer',
        stream=RecordingStream(),
        is_outbound=True,
        last_received_at=0,
        last_used_at=0,
    )
    streams.links.add(link)
    return streams, link


def _make_update(host, number):
    return make_update(make_member(host, refutation=number), observer=host)


@when('a host sends updates of hosts a, b, a, a digest and an update of host c within 0.01 s')
def step_send(context):
    async def main():
        streams, link = _make_streams()
        streams.write(link, _make_update('x', 0))
        await asyncio.sleep(0.001)
        messages = [
            *(_make_update(host, number) for number, host in enumerate('aba')),
            MemberDigest(prefix='', sums=b''),
            _make_update('c', 3),
        ]
        for message in messages:
            streams.write(link, message)
            await asyncio.sleep(0.002)
        await asyncio.sleep(0.1)
        return link.stream.hosts()

    context.hosts = run_virtual(main())


@then('the peer gets the last updates of a and b before the digest and that of c after it')
def step_order(context):
    assert context.hosts == ['x0', 'b1', 'a2', '|', 'c3'], context.hosts


@when('a host sends updates of hosts a, b, c within 0.01 s and closes its streams')
def step_close(context):
    async def main():
        streams, link = _make_streams()
        for number, host in enumerate('abc'):
            streams.write(link, _make_update(host, number))
            await asyncio.sleep(0.003)
        streams.close()
        return link.stream.hosts()

    context.hosts = run_virtual(main())


@then('the peer gets all of them')
def step_all(context):
    assert context.hosts == ['a0', 'b1', 'c2'], context.hosts


TEXT = strategies.text(max_size=12)
UPDATES = strategies.lists(
    strategies.builds(
        MemberUpdate,
        host=TEXT,
        incarnation=TEXT,
        refutation=strategies.integers(0, 2**40),
        state=TEXT,
        peer_address=TEXT,
        caller_address=TEXT,
        region=TEXT,
        availability_zone=TEXT,
        observer=TEXT,
    ),
    min_size=1,
    max_size=20,
)


@then('any updates that are packed are unpacked alike')
def step_pack(context):
    @for_all(UPDATES)
    def check(updates):
        assert unpack_updates(pack_updates(updates)) == updates

    check()


def _is_rejected(packed):
    try:
        unpack_updates(MemberUpdates(packed=packed))
    except PeerError:
        return True
    return False


@then('packed updates that are truncated, changed or oversized are rejected')
def step_malformed(context):
    packed = pack_updates([_make_update(host, 1) for host in 'abcdefgh']).packed
    columns = msgpack.unpackb(zlib.decompress(packed))
    malformed = [
        *(packed[:length] for length in range(len(packed))),
        zlib.compress(b'\x00' * EXPANDED_BYTES),
        *(
            zlib.compress(msgpack.packb(value))
            for value in (
                1,
                [],
                columns[:-1],
                [*columns, columns[0]],
                [[1] * 8, *columns[1:]],
                [columns[0][:-1], *columns[1:]],
                [columns[0], 7, *columns[2:]],
            )
        ),
    ]
    accepted = [packed for packed in malformed if not _is_rejected(packed)]
    assert not accepted, accepted

    @for_all(strategies.integers(0, len(packed) - 1), strategies.integers(1, 255))
    def check(position, change):
        changed = bytearray(packed)
        changed[position] ^= change
        # A change that the checksum misses must at least raise nothing else.
        _is_rejected(bytes(changed))

    check()
