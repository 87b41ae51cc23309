"""Steps of catalog.feature on the accounting of the store's changes."""

from behave import then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from balsamrail.catalog.change_accounting import ChangeAccounting
from balsamrail.catalog.revision import Revision
from balsamrail.catalog.stored_objects import ObjectEvent, StoreObject

WATCHED = ('config', 'servers', 'evacuations')
OTHER = 'balsamrail-hosts'
# The kind of each change, and whether its watch is answered after it.
CHANGES = st.lists(
    st.tuples(st.sampled_from((*WATCHED, OTHER)), st.sampled_from(('answered', 'late', 'lost'))),
    max_size=30,
)


def revision_of(number):
    return Revision(era=1, number=number)


class PlayedStore:
    """A store whose changes feeds receive in time, later or never."""

    def __init__(self):
        self.number = 1
        self.accounting = ChangeAccounting()
        self.pending_by_kind = {kind: [] for kind in WATCHED}
        self.lost_by_kind = {kind: False for kind in WATCHED}
        for kind in WATCHED:
            self.accounting.note_answer(kind, revision=revision_of(1))

    def change(self, kind):
        self.number += 1
        if kind in WATCHED:
            stored = StoreObject(name='x', revision=revision_of(self.number), spec=None)
            self.pending_by_kind[kind].append(ObjectEvent(stored=stored, is_removal=False))

    def answer(self, kind):
        events = self.pending_by_kind[kind]
        self.pending_by_kind[kind] = []
        self.accounting.note_answer(kind, revision=revision_of(self.number), events=events)

    def lacking(self):
        return {kind for kind, events in self.pending_by_kind.items() if events}

    def reported(self):
        return set(self.accounting.incomplete_kinds(revision_of(self.number)))


@when('changes of watched and other kinds are delivered in any order, or lost')
def step_changes(context):
    context.changes = CHANGES


@then('each kind that lacks a change is reported, and none if only delivered changes were made')
def step_reported(context):
    @for_all(context.changes)
    def check(changes):
        store = PlayedStore()
        late = []
        for kind, fate in changes:
            store.change(kind)
            if kind == OTHER:
                continue
            if fate == 'answered':
                store.answer(kind)
            elif fate == 'late':
                late.append(kind)
            assert store.lacking() <= store.reported()
        for kind in late:
            store.answer(kind)
        assert store.lacking() <= store.reported()
        for kind in sorted(store.reported()):
            store.answer(kind)
        assert not store.reported()

    check()

    @for_all(st.lists(st.sampled_from(WATCHED), max_size=30))
    def check_delivered(kinds):
        store = PlayedStore()
        for kind in kinds:
            store.change(kind)
            store.answer(kind)
            assert not store.reported()

    check_delivered()
