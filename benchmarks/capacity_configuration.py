"""Scaling of the cost of declaration changes on a host."""

import asyncio
import json
from typing import Any

from balsamrail.configuration import Tracker
from balsamrail.configuration.record_delta import apply_record_patch, make_record_patch
from balsamrail.configuration.record_history import RecordHistory
from benchmarks.capacity_model import declaration_document, environment_for
from benchmarks.measure import kept_bytes, processor_us
from benchmarks.slope import Slope, measure_slope

TARGETS = (250, 500, 1_000, 2_000)


def make_record_value(number: int, *, targets: int, changed: int = 1) -> Any:
    """Return a record with ``changed`` targets whose slots depend on ``number``."""
    document = declaration_document(targets=targets)
    for target in document['services']['service-0']['targets'][:changed]:
        target['slots'] = 1 + number
    return {
        'number': number,
        'accepted': {'revision': number, 'text': document},
        'candidate': None,
        'stopped': None,
        'mark': f'{number:032x}',
    }


def _offer_us(targets: int) -> float:
    async def measure() -> float:
        tracker = Tracker(environment=environment_for('host-0'))
        values = iter([make_record_value(n, targets=targets) for n in range(1, 20)])
        return processor_us(lambda: tracker.offer(next(values), version=1), rounds=2, repeats=5)

    return asyncio.run(measure())


def _kept_bytes(targets: int) -> int:
    async def measure() -> int:
        environment = environment_for('host-0')

        def build() -> Any:
            tracker = Tracker(environment=environment)
            history = RecordHistory()
            for number in range(1, 6):
                value = make_record_value(number, targets=targets)
                tracker.offer(value, version=number)
                history.add(number, value)
            return tracker, history

        return kept_bytes(build)

    return asyncio.run(measure())


def _record_bytes(targets: int) -> int:
    return len(json.dumps(make_record_value(1, targets=targets), separators=(',', ':')))


def _patch(targets: int, *, changed: int = 1) -> tuple[Any, bytes]:
    old, new = (make_record_value(number, targets=targets, changed=changed) for number in (1, 2))
    patch = make_record_patch(old, new)
    assert patch is not None
    return old, patch


def _candidate_patch_bytes(targets: int) -> int:
    """Return the size of the patch that starts a trial of a change of one target."""
    old, new = (make_record_value(number, targets=targets) for number in (1, 2))
    trial = {'share': 0.1, 'duration_s': 60}
    candidate = {**new['accepted'], 'author': 'a', 'since': 0, 'trial': trial}
    patch = make_record_patch(old, {**old, 'number': 2, 'candidate': candidate})
    assert patch is not None
    return len(patch)


def _make_patch_us(targets: int) -> float:
    old, new = (make_record_value(number, targets=targets) for number in (1, 2))
    return processor_us(lambda: make_record_patch(old, new), rounds=2, repeats=5)


def _apply_patch_us(targets: int) -> float:
    old, patch = _patch(targets)
    return processor_us(lambda: apply_record_patch(old, patch), rounds=2, repeats=5)


def slopes() -> list[Slope]:
    """Return the fitted slopes."""

    def fit(name: str, unit: str, measure: Any) -> Slope:
        return measure_slope(f'configuration.{name}', unit=unit, sizes=TARGETS, measure=measure)

    return [
        fit('record_bytes against targets', 'B/target', _record_bytes),
        fit('adopt_us against targets', 'us/target', _offer_us),
        fit('kept_bytes against targets', 'B/target', _kept_bytes),
        fit('patch_bytes against targets', 'B/target', lambda size: len(_patch(size)[1])),
        fit('candidate_patch_bytes against targets', 'B/target', _candidate_patch_bytes),
        fit('make_patch_us against targets', 'us/target', _make_patch_us),
        fit('apply_patch_us against targets', 'us/target', _apply_patch_us),
        measure_slope(
            'configuration.patch_bytes against changed targets (of 1000)',
            unit='B/target',
            sizes=(1, 10, 30, 100),
            measure=lambda size: len(_patch(1_000, changed=size)[1]),
        ),
    ]
