"""Steps of target_standing.feature for events at targets in any order."""

from itertools import product

from behave import then, when
from hypothesis import example
from hypothesis import given as for_all
from hypothesis import strategies as st
from placement_parts import Placement, make_entry, make_route

from balsamrail.placement.exclusion_reason import ExclusionReason
from balsamrail.placement.rejection import Rejection
from balsamrail.placement.target_availability import MIN_LIMIT_AGE_S, TargetAvailability


@when('responses, entries, outages and delays occur at a target in any order')
def step_events(context):
    pass


# Multiples of 1/8 s, so that sums are exact.
TIMES = st.integers(0, 80).map(lambda eighths: eighths / 8)
EVENTS = st.lists(
    st.one_of(
        st.just(('leaving', 0)),
        st.tuples(st.just('refusing'), TIMES),
        st.tuples(st.just('draining'), st.booleans()),
        st.just(('down', 0)),
        st.just(('up', 0)),
        st.tuples(st.just('cold'), TIMES),
        st.tuples(st.just('limit'), TIMES),
        st.just(('no_limit', 0)),
        st.tuples(st.just('wait'), TIMES),
    ),
    max_size=30,
)


def _is_limited(history):
    """Return whether the last limit has not ended; one that was just named does not end."""
    named_at = None
    for word, _, at in history:
        if word == 'limit':
            named_at = at
        elif word == 'no_limit' and named_at is not None and at - named_at >= MIN_LIMIT_AGE_S:
            named_at = None
    return named_at is not None


def _expected_exclusion(history, now, *, is_cold_allowed, is_rate_allowed):
    """Return the exclusion that follows from the complete history of events."""
    event_names = [word for word, _, _ in history]
    draining_values = [value for word, value, _ in history if word == 'draining']
    up_down_events = [word for word in event_names if word in {'up', 'down'}]
    if 'leaving' in event_names:
        return ExclusionReason.leaving
    if draining_values and draining_values[-1]:
        return ExclusionReason.draining
    if any(word == 'refusing' and now < at + value for word, value, at in history):
        return ExclusionReason.refusing
    if up_down_events and up_down_events[-1] == 'down':
        return ExclusionReason.down
    is_cold = any(word == 'cold' and now < at + value for word, value, at in history)
    if is_cold and not is_cold_allowed:
        return ExclusionReason.cold
    return ExclusionReason.limited if _is_limited(history) and not is_rate_allowed else None


def _apply_event(availability, word, value, now):
    match word:
        case 'leaving':
            availability.note_leaving(now=now)
        case 'refusing':
            availability.note_refusal(value, now=now)
        case 'draining':
            availability.note_draining(value, now=now)
        case 'down':
            availability.note_down(now=now)
        case 'up':
            availability.note_up()
        case 'cold':
            availability.note_cold(now + value, now=now)
        case 'limit':
            availability.note_limit(value, now=now)
        case 'no_limit':
            availability.note_no_limit(now=now)


@then('its exclusion is the one that follows from the complete history')
def step_history(context):
    @for_all(EVENTS)
    @example([('refusing', 2.0), ('refusing', 1.0), ('wait', 1.0)])
    def check(events):
        availability, history, now = TargetAvailability(), [], 0.0
        for word, value in events:
            if word == 'wait':
                now += value
            else:
                _apply_event(availability, word, value, now)
                history.append((word, value, now))
            for is_cold_allowed, is_rate_allowed in product((True, False), repeat=2):
                allowed = {
                    'is_cold_allowed': is_cold_allowed,
                    # Without a limit the rate is always allowed.
                    'is_rate_allowed': is_rate_allowed or availability.limit is None,
                }
                found = availability.exclusion_reason(now=now, **allowed)
                assert found == _expected_exclusion(history, now, **allowed), history
            reasons = [ruling.reason for ruling in availability.exclusions(now=now)]
            expected = _expected_exclusion(
                history, now, is_cold_allowed=False, is_rate_allowed=False
            )
            assert reasons[:1] == ([expected] if expected else []), history
            assert all(ruling.since <= now for ruling in availability.exclusions(now=now))

    check()


@when('responses, entries, restarts and outages occur at targets in any order')
def step_target_events(context):
    pass


IDS = ('i-0', 'i-1', 'i-2')
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ('leaving', 'refusing', 'put', 'drain', 'drop', 'down', 'up', 'evacuate', 'wait')
        ),
        st.sampled_from(IDS),
        st.integers(1, 2),
        TIMES,
    ),
    max_size=40,
)


class _ReferenceModel:
    """A reference model of the announcements of targets and of the store's contents."""

    def __init__(self):
        self.placement = Placement()
        self.now = 0.0
        self.announced_leaving = set()
        self.refusing_until = {}
        self.down = set()
        # All states that ever existed, since responses may arrive late.
        self.states_by_start = {}
        for target_id in IDS:
            self.step('put', target_id, 1, 0)

    def step(self, word, target_id, born_ms, value):
        placement = self.placement
        state = self.states_by_start.get((target_id, born_ms))
        match word:
            case 'put' | 'drain':
                entry = make_entry(target_id, born_ms=born_ms, is_draining=word == 'drain')
                known = placement.target_registry.state_of(target_id)
                placement.put(entry, now=self.now)
                placed = placement.target_registry.state_of(target_id)
                if placed is not known:
                    # Registration in the store marks the target as up.
                    self.down.discard((target_id, born_ms))
                self.states_by_start[target_id, born_ms] = placed
            case 'drop':
                placement.catalog.drop_target(target_id, reason='removed')
                placement.target_registry.refresh(now=self.now)
            case 'evacuate':
                zones = frozenset(('attiki-a',)) if value < 1 else frozenset()
                placement.catalog.set_evacuated(zones)
                placement.target_registry.refresh(now=self.now)
            case 'wait':
                self.now += value
            case _ if state is not None:
                self._apply_event(word, state, (target_id, born_ms), value)

    def excludes(self, state):
        start = (state.entry.target_id, state.entry.born_ms)
        entry = self.placement.catalog.entries_by_id.get(start[0])
        return (
            entry is None
            or entry.born_ms != start[1]
            or entry.is_draining
            or bool(self.placement.catalog.evacuated_zones)
            or start in self.announced_leaving
            or start in self.down
            or self.now < self.refusing_until.get(start, 0)
        )

    def _apply_event(self, word, state, start, value):
        match word:
            case 'leaving':
                self.announced_leaving.add(start)
                state.availability.note_leaving(now=self.now)
            case 'refusing':
                until = max(self.refusing_until.get(start, 0), self.now + value)
                self.refusing_until[start] = until
                state.availability.note_refusal(value, now=self.now)
            case 'down':
                self.down.add(start)
                state.note_down(check_at=self.now, now=self.now)
            case 'up':
                self.down.discard(start)
                state.availability.note_up()


@then('no incarnation that is leaving, refusing, draining, down or gone is chosen or confirmed')
def step_never_chosen(context):
    @for_all(STEPS)
    def check(steps):
        reference = _ReferenceModel()
        route = make_route()
        for step in steps:
            reference.step(*step)
            choice = reference.placement.select(route, now=reference.now)
            if isinstance(choice, Rejection):
                assert all(
                    map(
                        reference.excludes,
                        reference.placement.target_registry.states_by_id.values(),
                    )
                ), steps
            else:
                assert not reference.excludes(choice), steps
            for state in reference.states_by_start.values():
                ruled_out = reference.placement.target_selector.confirm(
                    route, state, counted=frozenset(), now=reference.now
                )
                assert (ruled_out is not None) == reference.excludes(state), (steps, ruled_out)

    check()
