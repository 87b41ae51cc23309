"""Steps of edges.feature."""

import asyncio
import json
import logging
import re
from contextlib import suppress
from dataclasses import fields
from typing import get_origin

import msgpack
from behave import then
from declaration_steps import VALID
from forwarding_parts import RawUpstream
from http_host import ask, run_with_host
from hypothesis import example, given, settings
from hypothesis import strategies as st
from platform_helpers import make_environment

from balsamrail.configuration import Declaration, load_declaration
from balsamrail.errors import DocumentError, PeerError, StoreError
from balsamrail.messages import FrameReader, encode_message
from balsamrail.messages.message import MESSAGE_KINDS
from balsamrail.store import HttpStore

CELL_BY_TYPE = {
    bool: st.booleans(),
    int: st.integers(-(2**63), 2**64 - 1),
    float: st.floats(allow_nan=False),
    str: st.text(max_size=9),
    bytes: st.binary(max_size=9),
    dict: st.dictionaries(st.text(max_size=9), st.integers(-(2**63), 2**63), max_size=3),
    list[int]: st.lists(st.integers(-(2**63), 2**63), max_size=3),
    list[bytes]: st.lists(st.binary(max_size=9), max_size=3),
}
MESSAGES = st.one_of(
    *(
        st.builds(
            kind,
            **{
                field.name: CELL_BY_TYPE[
                    field.type if field.type in CELL_BY_TYPE else get_origin(field.type)
                ]
                for field in fields(kind)
            },
        )
        for kind in MESSAGE_KINDS
    )
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)
DEEP = b'[' * 100_000


def changed(original, place, cut, put):
    """Return ``original`` with ``cut`` bytes at ``place`` replaced by ``put``."""
    start = place % (len(original) + 1)
    return original[:start] + put + original[start + cut :]


def damaged(originals, *, put):
    return st.builds(changed, originals, st.integers(0, 999), st.integers(0, 4), put)


@then('any bytes give messages or a peer error and every message survives its round trip')
def step_frames(context):
    @settings(max_examples=400)
    @given(
        st.binary(max_size=99)
        | damaged(MESSAGES.map(encode_message), put=st.binary(max_size=4))
        | st.lists(st.integers(0, 19) | st.text(max_size=3), max_size=9).map(msgpack.packb)
    )
    @example(b'\x91' * 100_000)
    @example(msgpack.packb([0, {}]))
    def check_bytes(data):
        with suppress(PeerError):
            assert all(type(message) in MESSAGE_KINDS for message in FrameReader().feed(data))

    @settings(max_examples=400)
    @given(st.lists(MESSAGES, max_size=4), st.integers(1, 40))
    def check_round_trip(messages, step):
        data = b''.join(map(encode_message, messages))
        reader = FrameReader()
        chunks = [data[start : start + step] for start in range(0, len(data), step)]
        assert [message for chunk in chunks for message in reader.feed(chunk)] == messages

    check_bytes()
    check_round_trip()


@then('any JSON value is refused with its faults or gives a declaration')
def step_declarations(context):
    places = []

    def note(value, place):
        for key in value if isinstance(value, dict) else range(len(value)):
            places.append((*place, key))
            if isinstance(value[key], dict | list):
                note(value[key], (*place, key))

    note(VALID, ())

    def replaced(place, value):
        document = json.loads(json.dumps(VALID))
        inner = document
        for key in place[:-1]:
            inner = inner[key]
        inner[place[-1]] = value
        return json.dumps(document).encode()

    @settings(max_examples=400)
    @given(
        JSON.map(json.dumps).map(str.encode)
        | st.builds(replaced, st.sampled_from(places), JSON)
        | damaged(st.just(json.dumps(VALID).encode()), put=st.binary(max_size=4))
    )
    @example(DEEP)
    @example(replaced(('services', 'diary', 'shift_cap'), {'fraction': 0.5, 'per_s': 10**400}))
    @example(replaced(('services', 'diary', 'shift_cap'), {'fraction': 0.5, 'per_s': 1e999}))
    def check(text):
        try:
            declaration = load_declaration(text)
        except DocumentError as error:
            assert error.faults and all(fault.startswith('$') for fault in error.faults)
        else:
            assert isinstance(declaration, Declaration)
            # NaN and infinity can pass the comparisons with limits.
            assert not re.search(r'\b(nan|inf)\b', repr(declaration.services))

    check()


HEADS = (
    b'GET /services/bookings/ HTTP/1.1\r\nHost: x\r\n\r\n',
    b'POST /services/bookings/a?b HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc',
    b'POST /services/bookings/ HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
    b'GET /services/bookings/ HTTP/1.1\r\nHost: x\r\nDeadline-Ms: 9\r\nIdempotency-Key: k\r\n\r\n',
)
PIECES = st.sampled_from([b'\r\n', b'\0', b':', b' ', b'\xff', b'-1', b'%', b'//', b'\xc2\xb2'])


class Records(logging.Handler):
    def __init__(self):
        super().__init__(logging.ERROR)
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


async def answered(port, data):
    """Return all bytes received until the connection is closed or 0.06 s have passed."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    received = b''
    try:
        writer.write(data)
        async with asyncio.timeout(0.06):
            while chunk := await reader.read(65_536):
                received += chunk
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()
    return received


@then('any request bytes get an answer or a closed connection and the next request is served')
def step_requests(context):
    records = Records()
    logger = logging.getLogger('tornado.application')
    logger.addHandler(records)

    @settings(max_examples=80)
    @given(
        st.binary(max_size=99)
        | damaged(st.sampled_from(HEADS), put=st.binary(max_size=4) | PIECES)
    )
    @example(HEADS[1].replace(b': 3', b': \xc2\xb2'))
    @example(HEADS[1].replace(b': 3', b': \xb2'))
    @example(HEADS[1].replace(b': 3', b': ' + b'9' * 5_000))
    @example(HEADS[0].replace(b'bookings', b'bookings/%ff%00'))
    def check(data):
        async def script(host, upstream):
            received = await answered(host.port, data)
            if received:
                head, _, body = received.partition(b'\r\n\r\n')
                status = int(re.match(rb'HTTP/1\.1 (\d{3}) ', head)[1])
                assert status != 500, received
                if status >= 400 and body:
                    assert b'application/problem+json' in head, received
            status, _, body = await ask(host.port, HEADS[0].decode().replace('\r', ''))
            assert (status, body) == (200, b'GET /')

        run_with_host(script)
        assert not records.messages, records.messages

    try:
        check()
    finally:
        logger.removeHandler(records)


@then('any answer of the store gives a value of the right type or a store error')
def step_store_answers(context):
    shapes = st.fixed_dictionaries(
        {},
        optional={
            'name': JSON,
            'version': JSON,
            'value': JSON,
            'objects': st.lists(st.fixed_dictionaries({'name': JSON, 'version': JSON}), max_size=2)
            | JSON,
            'hosts': st.lists(
                st.fixed_dictionaries({'host': JSON, 'address': JSON, 'state': JSON}), max_size=2
            )
            | JSON,
        },
    )
    bodies = (JSON | shapes).map(json.dumps).map(str.encode) | st.binary(max_size=30)

    @settings(max_examples=100)
    @given(st.sampled_from([200, 200, 200, 304, 404, 412, 429, 500, 302]), bodies)
    @example(200, DEEP)
    @example(200, b'{"version": NaN, "value": 1}')
    def check(status, body):
        async def answer(number, headers, writer):
            writer.write(f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'.encode())
            writer.write(b'' if status == 304 else body)

        async def main():
            upstream = await RawUpstream(answer).start()
            environment = make_environment(store_address=upstream.address, timeout_s=0.5)
            store = HttpStore(environment=environment)
            with suppress(StoreError):
                found = await store.read('record')
                assert found is None or type(found.version) is int
            with suppress(StoreError):
                assert type(await store.write('record', value=1, version=1)) is int
            with suppress(StoreError):
                found = await store.watch('record', version=1)
                assert found is None or type(found.version) is int
            with suppress(StoreError):
                named = await store.list_names(prefix='blocks/')
                kinds = {(type(name), type(version)) for name, version in named.items()}
                assert kinds <= {(str, int)}, named
            with suppress(StoreError):
                for listed in await store.list_hosts():
                    assert {type(listed.host), type(listed.address), type(listed.state)} == {str}
            upstream.stop()

        asyncio.run(main())

    check()
