"""Steps of tracker.feature."""

from behave import then
from hypothesis import given
from hypothesis import strategies as st
from platform_helpers import RecordedLog, make_environment
from record_values import record_value
from virtual_time import run_virtual

from balsamrail.configuration import Tracker
from balsamrail.errors import NotReadyError
from balsamrail.logs import Log

NUMBERS = st.lists(st.integers(1, 8), min_size=1, max_size=30)


def make_tracker(*, lines=None, host='attiki-a-1'):
    environment = make_environment(host=host)
    environment.log = Log(host=host, output=lines or RecordedLog())
    return Tracker(environment=environment)


@then('after any order of offers the number has only risen to the highest good one')
def step_orders(context):
    @given(numbers=NUMBERS, bad=st.sets(st.integers(1, 8)))
    def check(numbers, bad):
        async def main():
            tracker = make_tracker()
            seen = []
            tracker.subscribe(lambda: seen.append(tracker.number))
            for number in numbers:
                # Pairs of numbers share a revision, so that only the number determines the order.
                value = record_value(number=number, revision=(number + 1) // 2)
                if number in bad:
                    del value['accepted']['text']['regions']
                rises = number > tracker.number and number not in bad
                assert tracker.offer(value, version=number) == rises
            good = [number for number in numbers if number not in bad]
            assert tracker.number == max(good, default=0)
            assert seen == sorted(set(seen))
            if good:
                assert tracker.accepted().deployment == f'revision-{(max(good) + 1) // 2}'

        run_virtual(main())

    check()


@then('a bad record is refused, logged once for its version, and the last good one stays')
def step_bad(context):
    async def main():
        lines = RecordedLog()
        tracker = make_tracker(lines=lines)
        try:
            tracker.accepted()
        except NotReadyError:
            pass
        else:
            raise AssertionError('a tracker without a record is ready')
        assert tracker.offer(record_value(number=1, revision=1), version=1)
        wrong = record_value(number=2, revision=2)
        wrong['accepted']['text'] = {'deployment': 'x'}
        for value, version in ((wrong, 2), (wrong, 2), ('text', 3), ([], 4), ({}, 5), ({}, 5)):
            assert not tracker.offer(value, version=version)
        refused = [line for line in lines.lines if 'event=record_refused' in line]
        assert len(refused) == 4, refused
        assert tracker.accepted().deployment == 'revision-1'

    run_virtual(main())


@then('a record with a lower accepted revision is refused')
def step_lower(context):
    async def main():
        tracker = make_tracker()
        assert tracker.offer(record_value(number=1, revision=5), version=1)
        assert not tracker.offer(record_value(number=2, revision=4), version=2)
        assert tracker.accepted().deployment == 'revision-5'

    run_virtual(main())


@then(
    'about {percent:d} percent of the callers get a candidate with share {share:g}, '
    'the same on each host'
)
def step_share(context, percent, share):
    async def main():
        value = record_value(number=1, revision=1, candidate_revision=2, share=share)
        trackers = [make_tracker(host=f'h{index}') for index in range(2)]
        for tracker in trackers:
            tracker.offer(value, version=1)
        callers = [f'10.0.{index // 256}.{index % 256}' for index in range(5000)]
        first, second = (
            [tracker.for_caller(caller)[0] for caller in callers] for tracker in trackers
        )
        assert first == second
        assert abs(first.count(2) / len(callers) - percent / 100) < 0.03, first.count(2)

    run_virtual(main())
