"""Steps of lookup.feature."""

import base64
import json
from collections import Counter
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as given_values
from hypothesis import strategies
from product_fakes import FakeMembers, FakeRouter, FakeTracker, make_environment
from virtual_time import run_virtual

from balsamrail.errors import UnknownServiceError
from balsamrail.lookup import BlockMap, BlockSync, LookupTable

BLOCKS = strategies.integers(0, 1023) | strategies.integers(0, 2**24 - 1)
SITES = strategies.integers(0, 249)


def address(block):
    return f'{block >> 16}.{block >> 8 & 255}.{block & 255}.9'


@when('random block maps are built, packed into parts and changed')
def step_maps(context):
    context.maps = []

    @given_values(
        strategies.lists(strategies.tuples(BLOCKS, SITES)),
        strategies.dictionaries(BLOCKS, SITES | strategies.none()),
    )
    def check(pairs, changes):
        plain = dict(pairs)
        block_map = BlockMap.from_parts(BlockMap.from_pairs(pairs).to_parts())
        before = dict(plain)
        changed = block_map.changed(changes)
        plain.update(changes)
        context.maps.append((before, block_map))
        context.maps.append((plain, changed))

    check()


@then('each agrees with a plain dict on every block')
def step_agree(context):
    assert len(context.maps) >= 100
    for plain, block_map in context.maps:
        assert len(block_map) == sum(site is not None for site in plain.values())
        for block in plain:
            for near in (block - 1, block, block + 1):
                if 0 <= near < 2**24:
                    assert block_map.site(address(near)) == plain.get(near), (near, plain)


@then('each truncation of a packed part is rejected or contains only complete groups')
def step_cut(context):
    pairs = {block: block % 250 for block in (*range(20), *range(5000, 5020))}
    (part,) = BlockMap.from_pairs(pairs.items()).to_parts()
    refused = 0
    for length in range(1, len(part)):
        try:
            block_map = BlockMap.from_parts([part[:length]])
        except ValueError:
            refused += 1
        else:
            assert len(block_map) == 20
    assert refused == len(part) - 2, refused


@then('{blocks:d} blocks take at most {limit:g} MB and parts below {part_bytes:d} base64 bytes')
def step_size(context, blocks, limit, part_bytes):
    block_map = BlockMap.from_pairs((block * 4, block % 250) for block in range(blocks))
    assert len(block_map) == blocks
    assert block_map.size_bytes() <= limit * 1e6, block_map.size_bytes()
    parts = list(block_map.to_parts())
    assert all(len(base64.b64encode(part)) < part_bytes for part in parts)
    assert len(BlockMap.from_parts(parts)) == blocks


@given('a lookup table with hosts in 2 regions')
def step_table(context):
    context.members = FakeMembers()

    async def make():
        environment = make_environment()
        context.environment = environment
        context.blocks = BlockSync(environment=environment, store=None)
        context.lookup_table = LookupTable(
            environment=environment,
            tracker=FakeTracker(),
            members=context.members,
            router=FakeRouter(),
            blocks=context.blocks,
        )

    run_virtual(make())


def look_up(context, caller):
    return json.loads(context.lookup_table.response_body(service='bookings', caller=caller))[
        'hosts'
    ]


@then('the region of "{first}", "{second}" and "" of an empty map is the host\'s region')
def step_default(context, first, second):
    for caller in (first, second):
        assert context.blocks.region(caller) == 'attiki'
        assert look_up(context, caller)[0]['region'] == 'attiki'
    try:
        context.lookup_table.response_body(service='none', caller=first)
    except UnknownServiceError:
        return
    raise AssertionError('a lookup of an unknown service succeeded')


@when('each host in turn is marked as leaving right after a lookup response contained it')
def step_leave(context):
    context.named = {}
    for host, member in list(context.members.by_host.items()):
        callers = [address(block * 7919) for block in range(200)]
        seen = {entry['host'] for caller in callers for entry in look_up(context, caller)}
        assert host in seen
        context.members.by_host[host] = replace(member, state='leaving')
        context.named[host] = {
            entry['host'] for caller in callers for entry in look_up(context, caller)
        }
        context.members.by_host[host] = member
        context.lookup_table._members_valid_until = float('-inf')


@then('no lookup response to any caller contains it')
def step_unnamed(context):
    for host, named in context.named.items():
        assert named and host not in named


@then(
    'every lookup response has at most 5 hosts, at most 3 of one availability zone, nearest region first'
)
def step_zones(context):
    for block in range(300):
        hosts = look_up(context, address(block * 7919))
        assert len(hosts) == 5
        zones = Counter(entry['availability_zone'] for entry in hosts)
        assert max(zones.values()) == 3 and len(zones) == 3, hosts
        assert [entry['region'] for entry in hosts] == [*['attiki'] * 4, 'makedonia']


@then(
    'over {blocks:d} client blocks no host of the region is first for more than twice its equal share'
)
def step_spread(context, blocks):
    counts = Counter(look_up(context, address(block))[0]['host'] for block in range(blocks))
    assert len(counts) == 12, counts
    assert max(counts.values()) <= 2 * blocks / 12, counts


@then('the key prefix is host, incarnation and an expiry {ahead:d} s ahead')
def step_prefix(context, ahead):
    for entry in look_up(context, '10.0.0.1'):
        host, incarnation, expiry = entry['key_prefix'].split(':')
        assert host == entry['host']
        assert incarnation == context.members.by_host[host].incarnation
        assert 0 <= context.environment.clock.wall() + ahead - int(expiry) < 1
