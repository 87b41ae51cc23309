"""Steps of trial.feature."""

import asyncio
import json
import random

from behave import given, then, when
from hypothesis import given as examples
from hypothesis import strategies as st
from platform_helpers import make_environment
from record_values import text_value
from trial_fleet import feed, make_fleet
from virtual_time import run_virtual

from balsamrail.configuration import (
    RECORD_NAME,
    SubmitConflict,
    Submitted,
    submit_declaration,
)
from balsamrail.errors import StoreError
from balsamrail.messages import encode_message

DELAYS = st.sampled_from([0, 0.01, 0.5, 1.0])


@given(
    'a trial with at least {requests:d} requests, error ratio {errors:g} and '
    'latency ratio {latency:g}'
)
def step_trial(context, requests, errors, latency):
    context.trial = {
        'min_requests': requests,
        'error_ratio_above': errors,
        'latency_ratio_above': latency,
    }


@when(
    'the candidate has {requests:d} requests with {errors:d} errors and {latency:g} s, '
    'the accepted 0.1 s'
)
def step_evidence(context, requests, errors, latency):
    context.evidence = {'requests': requests, 'errors': errors, 'latency_s': latency}


@then('after {duration:d} s the trial has {verdict}')
def step_verdict(context, duration, verdict):
    async def main():
        fleet = make_fleet(**context.trial)
        feed(fleet.judges[0], revision=1, requests=100)
        feed(fleet.judges[0], revision=2, **context.evidence)
        await fleet.run(duration)
        record = fleet.store.values(RECORD_NAME)[-1]
        assert record['candidate'] is None and record['number'] == 2, record
        assert fleet.trackers[0].number == 2
        if verdict == 'accepted':
            assert record['accepted']['revision'] == 2, record
        else:
            assert record['accepted']['revision'] == 1, record
            reason = verdict.removeprefix('stopped for ')
            assert record['stopped']['reason'].startswith(reason), record

    run_virtual(main())


@then('a trial of {length:d} s is not accepted after {early:d} s, and is accepted at {late:d} s')
def step_time(context, length, early, late):
    async def main():
        fleet = make_fleet(hosts=3, duration_s=length)
        await fleet.run(early)
        assert fleet.store.version(RECORD_NAME) == 1
        await fleet.run(late - early)
        assert fleet.store.values(RECORD_NAME)[-1]['accepted']['revision'] == 2

    run_virtual(main())


@then(
    '{hosts:d} hosts with {requests:d} requests each stop a trial that needs {needed:d}, '
    'with doubled and late messages'
)
def step_shared(context, hosts, requests, needed):
    async def main():
        random.seed(context.seed)
        fleet = make_fleet(hosts=hosts, min_requests=needed)
        for half in range(2):
            for judge in fleet.judges[1:]:
                feed(judge, revision=2, requests=requests // 2, errors=half)
            await fleet.run(20)
        known = [judge.dump()['candidate'][0] for judge in fleet.judges]
        assert known == [requests * (hosts - 1)] * hosts, known
        assert fleet.store.version(RECORD_NAME) == 1
        feed(fleet.judges[0], revision=2, requests=requests, errors=1)
        await fleet.run(20)
        record = fleet.store.values(RECORD_NAME)[-1]
        assert record['stopped']['reason'].endswith(f'after {requests * hosts} requests'), record

    run_virtual(main())


@then(
    'whatever {count:d} judges and an operator do at once each write adds one and no revision falls'
)
def step_judges_race(context, count):
    # Each example uses the same random seed, so that failures are reproducible.
    @examples(
        script=st.lists(
            st.tuples(DELAYS, st.sampled_from(['ok', 'ok', 'lost', 'late'])), max_size=20
        ),
        failing=st.booleans(),
        operator_at=st.floats(0, 8),
        tried_s=st.sampled_from([0, 2]),
    )
    def check(script, failing, operator_at, tried_s):
        async def main():
            random.seed(context.seed)
            fleet = make_fleet(hosts=count, script=script, duration_s=2)
            feed(fleet.judges[0], revision=2, requests=50, errors=50 if failing else 0)

            trial = {'share': tried_s / 4, 'duration_s': tried_s}

            async def operate():
                await asyncio.sleep(operator_at)
                try:
                    return await submit_declaration(
                        environment=make_environment(),
                        store=fleet.store,
                        text=json.dumps({**text_value('operator'), 'trial': trial}),
                        author='eleni',
                    )
                except StoreError as error:
                    return error

            operator = asyncio.create_task(operate())
            await fleet.run(40)
            outcome = await operator
            await fleet.store.settle()
            records = fleet.store.values(RECORD_NAME)
            assert [record['number'] for record in records] == list(range(1, len(records) + 1))
            revisions = [record['accepted']['revision'] for record in records]
            assert revisions == sorted(revisions), revisions
            text_by_revision, texts = {}, []
            for record in records:
                for kept in filter(None, (record['accepted'], record['candidate'])):
                    text = text_by_revision.setdefault(kept['revision'], kept['text'])
                    assert text == kept['text'], records
                    texts.append(text['deployment'])
            match outcome:
                case Submitted():
                    # After the first trial has ended, the judges no longer read the record.
                    newest = records[-1]['candidate'] or records[-1]['accepted']
                    assert newest['text']['deployment'] == 'operator', (records, outcome)
                case SubmitConflict():
                    assert 'operator' not in texts, (texts, outcome)
            assert len(records) <= (4 if tried_s else 3), records

        run_virtual(main())

    check()


@then('{count:d} judges that agree make {writes:d} write')
def step_turns(context, count, writes):
    async def main():
        fleet = make_fleet(hosts=count, duration_s=10)
        await fleet.run(60)
        assert fleet.store.version(RECORD_NAME) == 2
        assert fleet.store.calls['write'] == writes, fleet.store.calls['write']

    run_virtual(main())


@then(
    'a judge whose trial is over reads an unusable record at most {reads:d} times '
    'in {duration:d} s'
)
def step_unusable(context, reads, duration):
    async def main():
        fleet = make_fleet(duration_s=1)
        fleet.store.values_by_name[RECORD_NAME].append('{"number": 2}')
        await fleet.run(duration)
        assert fleet.store.version(RECORD_NAME) == 2
        assert 1 < fleet.store.calls['read'] <= reads, fleet.store.calls['read']
        assert fleet.store.calls['write'] == 0

    run_virtual(main())


@then('with {hosts:d} hosts a receiver gets at most {limit:d} bytes/s of counters')
def step_rate(context, hosts, limit):
    async def main():
        random.seed(context.seed)
        fleet = make_fleet(hosts=1, duration_s=20_000)
        fleet.environments += [make_environment(host=f'h{index}') for index in range(1, hosts)]
        [judge] = fleet.judges
        running = asyncio.create_task(judge.run())
        for _ in range(10_000):
            feed(judge, revision=2, requests=1, latency_s=3)
            await asyncio.sleep(1)
        running.cancel()
        # Topic and version take less than 100 bytes; a message arrives on up to 6 streams.
        received = sum(len(encode_message(message)) + 100 for message in fleet.flooded) * 6 * hosts
        assert 0.2 * limit < received / 10_000 <= limit, received / 10_000
        context.rate = received / 10_000

    run_virtual(main())
