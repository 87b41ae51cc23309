"""Steps of record_writes.feature."""

import asyncio
import json

from behave import then
from declaration_steps import VALID
from hypothesis import given, settings
from hypothesis import strategies as st
from platform_helpers import make_environment, run_real
from record_values import record_value
from virtual_time import run_virtual

from balsamrail.configuration import (
    RECORD_NAME,
    SubmitConflict,
    Submitted,
    Tracker,
    submit_declaration,
)
from balsamrail.errors import StoreError, StoreOutcomeUnknownError
from balsamrail.store import HttpStore, VerifiedWrite
from standins.memory_store import MemoryStore
from standins.store import StoreStandIn

DELAYS = st.sampled_from([0, 0.001, 0.002, 0.003])
FATES = st.sampled_from(['ok', 'ok', 'refused', 'lost', 'dropped', 'late'])


def text_of(author):
    return json.dumps({**VALID, 'deployment': author})


async def submit(store, author, **options):
    try:
        return await submit_declaration(
            environment=make_environment(),
            store=store,
            text=text_of(author),
            author=author,
            **options,
        )
    except StoreError as error:
        return error


def effects(store, author):
    texts = [record['accepted']['text'] for record in store.values(RECORD_NAME)]
    return sum(text['deployment'] == author for text in texts)


@then('of {count:d} racing operators exactly one wins and the others are told what differs')
def step_race(context, count):
    @given(script=st.lists(st.tuples(DELAYS, st.just('ok')), max_size=20))
    def check(script):
        async def main():
            store = MemoryStore(script=script)
            assert isinstance(await submit(store, 'base'), Submitted)
            authors = [f'author-{index}' for index in range(count)]
            outcomes = await asyncio.gather(
                *(submit(store, author, base_revision=1) for author in authors)
            )
            won = [entry for entry in outcomes if isinstance(entry, Submitted)]
            lost = [entry for entry in outcomes if isinstance(entry, SubmitConflict)]
            assert (len(won), len(lost)) == (1, count - 1), outcomes
            assert all(entry.paths == ['$.deployment'] for entry in lost), lost
            assert store.version(RECORD_NAME) == 2

        run_virtual(main())

    check()


@then('whatever happens to the calls each report agrees with what the store holds')
def step_faulty_race(context):
    @settings(max_examples=400)
    @given(script=st.lists(st.tuples(DELAYS, FATES), max_size=24))
    def check(script):
        async def main():
            store = MemoryStore(script=script)
            authors = ['author-0', 'author-1']
            outcomes = await asyncio.gather(
                *(submit(store, author, base_revision=0) for author in authors)
            )
            await store.settle()
            for author, outcome in zip(authors, outcomes, strict=True):
                count = effects(store, author)
                match outcome:
                    case Submitted():
                        assert count == 1, (author, outcome, count)
                    case StoreOutcomeUnknownError():
                        assert count <= 1, (author, outcome, count)
                    case _:
                        assert count == 0, (author, outcome, count)
            assert store.version(RECORD_NAME) <= 1

        run_virtual(main())

    check()


@then('a write with the fate {fate} takes effect once and reports version 1')
def step_single(context, fate):
    async def main():
        store = MemoryStore(script=[(0.001, fate)])
        write = VerifiedWrite(environment=make_environment(), store=store)
        assert await write.write('x', value={'a': 1}, version=0) == 1
        await store.settle()
        assert store.version('x') == 1

    run_virtual(main())


@then(
    'a submission with the fate {fate}, followed up to version 2 by others on the {first} text, is reported as {report}'
)
def step_overwritten(context, fate, first, report):
    async def main():
        store = MemoryStore(script=[(0.001, 'ok'), (0.001, fate)])
        submission = asyncio.create_task(submit(store, 'own'))
        await asyncio.sleep(0.05)
        values = store.values_by_name.setdefault(RECORD_NAME, [])
        for number in range(len(values) + 1, 3):
            value = record_value(number=number, revision=1, candidate_revision=2)
            value['accepted']['text'] = json.loads(text_of(first))
            values.append(json.dumps(value))
        outcome = await submission
        assert type(outcome).__name__ == report, outcome

    run_virtual(main())


@then('a text edited from an older revision is refused with the paths that differ')
def step_outdated(context):
    async def main():
        store = MemoryStore()
        await submit(store, 'first')
        await submit(store, 'second')
        outcome = await submit(store, 'third', base_revision=1)
        assert isinstance(outcome, SubmitConflict), outcome
        assert (outcome.revision, outcome.paths) == (2, ['$.deployment'])
        assert outcome.text['deployment'] == 'second'

    run_virtual(main())


@then('a submission whose answer the stand-in loses is reported as submitted')
def step_real(context):
    async def main():
        stand_in = StoreStandIn()
        await stand_in.start()
        store = HttpStore(environment=make_environment(store_address=stand_in.address))
        stand_in.faults.lose_answers = 1
        outcome = await submit(store, 'author')
        assert outcome == Submitted(number=1, revision=1, accepted=True), outcome
        assert (stand_in.calls('write'), stand_in.calls('lost')) == (1, 1)
        await stand_in.stop()

    run_real(main())


@then('a submission is in force on a host after the store lost the last {lost:d} of 3 submissions')
def step_lost_submissions(context, lost):
    async def main():
        store = MemoryStore()
        tracker = Tracker(environment=make_environment())
        copies = []

        async def submit_and_adopt(author):
            copies.append(store.copy())
            assert isinstance(await submit(store, author), Submitted)
            found = await store.read(RECORD_NAME)
            tracker.offer(found.value, version=found.version)
            assert tracker.accepted().deployment == author, (author, tracker.dump())

        for author in ('first', 'second', 'third'):
            await submit_and_adopt(author)
        for author in ('fourth', 'fifth'):
            store.restore(copies[3 - lost], wall_s=0)
            await submit_and_adopt(author)
            await submit_and_adopt(f'after {author}')

    run_virtual(main())
