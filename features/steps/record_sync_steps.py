"""Steps of record_sync.feature."""

import asyncio
import json

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies

from balsamrail.configuration.merge_patch import apply_merge_patch
from balsamrail.configuration.record_delta import apply_record_patch, make_record_patch
from balsamrail.configuration.startup_quorum import StartupQuorum
from features.steps.membership_steps import run, wait_until
from features.steps.memory_fleet import make_record


async def put(context, number):
    context.fleet.store.put(make_record(number))


@when('a tenth of the hosts are paused and record {number:d} is written')
def step_pause_and_write(context, number):
    for host in context.fleet.hosts[::10]:
        host.pause()
    run(context, put(context, number))


@when('the paused hosts wake')
def step_wake(context):
    async def wake():
        for host in context.fleet.hosts:
            host.resume()

    run(context, wake())


@when('record 1 is written and then record 2')
def step_write_two(context):
    run(context, put(context, 1))
    context.copy = context.fleet.store.stored
    run(context, asyncio.sleep(3))
    run(context, put(context, 2))


@when('the store is down and host {number:d} restarts with only seeds')
def step_restart(context, number):
    async def restart():
        context.fleet.store.down = True
        seeds = [host.address for host in context.fleet.hosts[:2]]
        host = context.fleet.restart(number, options={'seeds': seeds})
        context.answered = answered = set()
        rule = host.sync._quorum
        note = rule.on_peer_response

        class Recorder:
            satisfied = property(lambda _: rule.satisfied)
            unanswered_peers = staticmethod(rule.unanswered_peers)
            end_round = staticmethod(rule.end_round)
            on_store_response = staticmethod(rule.on_store_response)

            def on_peer_response(self, peer):
                if not rule.satisfied:
                    answered.add(peer)
                note(peer)

        host.sync._quorum = Recorder()

    run(context, restart())


@when('the store is down before anything was read')
def step_down_first(context):
    context.fleet.store.down = True


@when('all announcements are lost and record {number:d} is written')
def step_lose_announcements(context, number):
    context.fleet.network.lost_kinds.add('RecordAnnounce')
    run(context, put(context, number))


@when('the store never answers for {seconds:d} s and then record {number:d} is written')
def step_hang(context, seconds, number):
    async def hang():
        store = context.fleet.store
        store.hung = True
        await asyncio.sleep(seconds)
        store.hung = False
        await put(context, number)

    run(context, hang())


@when('the store comes back with record 1 and then record {number:d} is written')
def step_come_back(context, number):
    async def come_back():
        context.fleet.store.restore(context.copy)
        await put(context, number)

    run(context, come_back())


@when('the store is down for {seconds:d} s')
def step_down_for(context, seconds):
    context.fleet.store.down = True
    before = context.fleet.store.calls
    run(context, asyncio.sleep(seconds))
    context.calls = context.fleet.store.calls - before


@then('every running host has record {number:d} within {limit:d} s')
def step_reached(context, number, limit):
    running = [host for host in context.fleet.hosts if host.gate.open.is_set()]
    run(context, wait_until(lambda: all(h.tracker.number == number for h in running), limit))


@then('no host ever went back to a lower number')
def step_monotone(context):
    for host in context.fleet.hosts:
        assert host.tracker.numbers == sorted(host.tracker.numbers)


@then('host {number:d} is ready with record {record:d} within {limit:d} s')
def step_ready(context, number, record, limit):
    host = context.fleet.hosts[number]
    run(context, wait_until(host.sync.ready, limit))
    assert host.tracker.number == record, host.tracker.numbers


@then('host {number:d} had at least 3 answers before it was ready')
def step_answers(context, number):
    assert len(context.answered) >= 3, context.answered


@then(
    'of {many:d} peers {needed:d} have to answer and of {few:d} peers all, after {last:d} rounds'
)
def step_start_rule(context, many, needed, few, last):
    def satisfied(peers, answers, rounds):
        rule = StartupQuorum()
        for peer in range(answers):
            rule.on_peer_response(f'h{peer}')
        for _ in range(rounds):
            rule.end_round([f'h{peer}' for peer in range(peers)])
        return rule.satisfied

    assert [satisfied(many, answers, 9) for answers in (needed - 1, needed)] == [False, True]
    cases = ((few - 1, 9), (few, last - 1), (few, last))
    assert [satisfied(few, *case) for case in cases] == [False, False, True]


@then('host {number:d} is not ready')
def step_not_ready(context, number):
    assert not context.fleet.hosts[number].sync.ready()


@then('each host made at most {most:d} calls meanwhile')
def step_calls(context, most):
    assert context.calls <= most * len(context.fleet.hosts), context.calls


SIMPLE = strategies.none() | strategies.integers(0, 3) | strategies.text('ab"\\\u00e9', max_size=3)
DOCUMENTS = strategies.recursive(
    SIMPLE,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.sampled_from('abc'), inner, max_size=3)
    ),
    max_leaves=8,
)
TEXTS = strategies.builds(
    lambda document, indent: json.dumps(document, indent=indent),
    DOCUMENTS,
    strategies.sampled_from([None, 2, 3]),
) | strategies.text(max_size=5)
TEXTS |= strategies.dictionaries(strategies.sampled_from(['a', 'layout']), DOCUMENTS, max_size=2)
PARTS = strategies.none() | strategies.fixed_dictionaries({'revision': SIMPLE, 'text': TEXTS})
RECORDS = strategies.fixed_dictionaries(
    {
        'number': strategies.integers(1, 3),
        'accepted': PARTS,
        'candidate': PARTS,
        'stopped': DOCUMENTS,
    }
)


@then('any record patched to any other equals it')
def step_patch(context):
    @for_all(RECORDS, RECORDS)
    def check(old, new):
        patch = make_record_patch(old, new)
        # A merge patch cannot set a member to null, so some changes have no patch.
        assert patch is not None or not is_expressible(new)
        assert patch is None or apply_record_patch(old, patch) == new

    check()


def is_expressible(record):
    parts = [record['accepted'], record['candidate'] or {}, record['stopped'] or {}]
    return record['accepted'] is not None and not any(map(has_null_member, parts))


def has_null_member(value):
    if not isinstance(value, dict):
        return False
    return any(member is None or has_null_member(member) for member in value.values())


@then('the patch for one changed weight of a 100 KB declaration is under {most:d} bytes')
def step_small(context, most):
    services = {f'service-{n}': {'weights': {'a': n}, 'notes': 'x' * 80} for n in range(1000)}
    older = {'services': {**services, 'service-7': {'weights': {'a': 99}, 'notes': 'x' * 80}}}
    # Records contain the declaration as an object; older ones contain it as a string.
    for write in (dict, lambda document: json.dumps(document, indent=2)):
        old, new = make_record(1), make_record(2)
        old['accepted']['text'] = write(older)
        new['accepted']['text'] = write({'services': services})
        assert len(json.dumps(old)) > 100_000
        patch = make_record_patch(old, new)
        assert patch is not None, 'the whole record would be sent'
        assert len(patch) < most


@then('the examples of RFC 7396 hold')
def step_rfc(context):
    examples = [
        ({'a': 'b'}, {'a': 'c'}, {'a': 'c'}),
        ({'a': 'b', 'b': 'c'}, {'a': None}, {'b': 'c'}),
        ({'a': [{'b': 'c'}]}, {'a': [1]}, {'a': [1]}),
        (['a', 'b'], {'a': 'b', 'c': None}, {'a': 'b'}),
        ({}, {'a': {'bb': {'ccc': None}}}, {'a': {'bb': {}}}),
        ({'e': None}, {'a': 1}, {'e': None, 'a': 1}),
        ({'a': 'foo'}, None, None),
    ]
    for target, patch, result in examples:
        assert apply_merge_patch(target, patch) == result


@when('the store comes back with {copy} {times:d} times')
def step_come_back_often(context, copy, times):
    async def come_back():
        store = context.fleet.store
        for _ in range(times):
            store.restore(None if copy == 'no record' else context.copy)
            await wait_until(lambda: store.stored and store.stored.value['number'] == 2, 8)

    context.times = times
    run(context, come_back())


@then('the store holds record {number:d} within {limit:d} s, written once each time')
def step_written_back(context, number, limit):
    store = context.fleet.store
    run(context, asyncio.sleep(limit))
    assert store.stored.value == make_record(number), store.stored
    assert store.writes == context.times * [make_record(number)], store.writes


@when('all hosts restart')
def step_restart_all(context):
    async def restart():
        for index in range(len(context.fleet.hosts)):
            context.fleet.restart(index)

    run(context, restart())


@then('the store holds record {number:d}')
def step_holds(context, number):
    assert context.fleet.store.stored.value == make_record(number), context.fleet.store.stored
