"""Steps of weights.feature."""

from itertools import pairwise

from behave import given, then, when
from hypothesis import example
from hypothesis import given as for_all
from hypothesis import strategies as st

from balsamrail.configuration import Cap
from balsamrail.steering.region_health import RegionHealth
from balsamrail.steering.weights import Weights, moved_fraction, normalised

REGIONS = ('attiki', 'makedonia', 'peloponnisos')
FAILOVER = Cap(fraction=0.5, per_s=10)
EVENTS = st.tuples(
    st.sampled_from(['declare', 'fail', 'pause', 'start', 'run', 'run']),
    st.lists(st.integers(0, 9), min_size=3, max_size=3),
    st.integers(1, 40),
)


class WeightsTrace:
    """Records the weights of one host, and of successors that start from them, every 0.5 s."""

    def __init__(self, shift):
        self.now = 0.0
        self.shift = shift
        self.declared = dict.fromkeys(REGIONS, 1 / 3)
        self.failed = set()
        self.weights = Weights(effective=self.declared, now=0)
        self.trace = [(0.0, dict(self.weights.effective))]
        self.failed_at = []

    def run(self, ticks):
        for _ in range(ticks):
            self.now += 0.5
            self.weights.step(
                declared=self.declared,
                failed=self.failed,
                shift_cap=self.shift,
                failover_cap=FAILOVER,
                now=self.now,
            )
            if self.failed:
                self.failed_at.append(self.now)
            self.trace.append((self.now, dict(self.weights.effective)))

    def apply(self, event):
        kind, numbers, ticks = event
        match kind:
            case 'declare' if any(numbers):
                self.declared = normalised(dict(zip(REGIONS, map(float, numbers), strict=True)))
            case 'fail':
                self.failed ^= {REGIONS[ticks % 3]}
            case 'pause':
                self.now += ticks
            case 'start':
                self.weights = Weights(
                    effective=self.weights.effective, now=self.now, is_from_peer=True
                )
        self.run(ticks)

    def check(self, cap, *, planned_only):
        for index, (start, _) in enumerate(self.trace):
            window = [entry for entry in self.trace[index:] if entry[0] <= start + cap.per_s]
            if planned_only and any(start <= at <= window[-1][0] for at in self.failed_at):
                continue
            moved = sum(moved_fraction(one[1], two[1]) for one, two in pairwise(window))
            assert moved <= cap.fraction + 1e-6, (start, moved, cap)


@when('weights are declared, regions fail and hosts pause and start in any order')
def step_any_shift(context):
    @for_all(st.lists(EVENTS, max_size=15), st.sampled_from([(0.1, 5), (0.3, 20), (0.05, 60)]))
    @example([('fail', [1, 1, 1], 3), ('start', [1, 1, 1], 2), ('fail', [1, 1, 1], 4)], (0.1, 5))
    def check(events, shift):
        trace = WeightsTrace(Cap(fraction=shift[0], per_s=shift[1]))
        for event in events:
            trace.apply(event)
        trace.check(trace.shift, planned_only=True)
        trace.check(FAILOVER, planned_only=False)

    context.check = check


@then('no window of any cap had more than its fraction move')
def step_within_caps(context):
    context.check()


@when('new weights are declared and ten times the duration of a full move passes')
def step_declare(context):
    trace = WeightsTrace(Cap(fraction=0.1, per_s=10))
    trace.declared = {'attiki': 1.0, 'makedonia': 0.0, 'peloponnisos': 0.0}
    trace.run(2000)
    context.trace = trace


@then('the effective weights equal the declared ones')
def step_arrived(context):
    assert moved_fraction(context.trace.weights.effective, context.trace.declared) < 1e-6


@when('a host was paused for an hour while its weights moved')
def step_paused_hour(context):
    trace = WeightsTrace(Cap(fraction=0.1, per_s=10))
    trace.declared = {'attiki': 1.0, 'makedonia': 0.0, 'peloponnisos': 0.0}
    trace.run(4)
    context.before = trace.weights.effective
    trace.now += 3600
    trace.run(1)
    context.trace = trace


@then('its next step moves no more than a second of its cap')
def step_continues(context):
    assert 0 < moved_fraction(context.before, context.trace.weights.effective) <= 0.01 + 1e-9


@given('a region whose targets fail for two seconds of every four')
def step_flapping(context):
    context.health = RegionHealth()
    context.judged = [
        context.health.observe(0.1 if tick % 8 < 4 else 1.0, now=tick / 2) for tick in range(240)
    ]


@then('it never counts as failed')
def step_never(context):
    assert not any(context.judged)


@then(
    'it counts as failed three seconds after a lasting failure and as recovered ten after its end'
)
def step_hysteresis(context):
    failing = [context.health.observe(0.1, now=200 + tick / 2) for tick in range(20)]
    assert failing.index(True) == 6, failing
    back = [context.health.observe(0.9, now=300 + tick / 2) for tick in range(40)]
    assert back.index(False) == 20, back
