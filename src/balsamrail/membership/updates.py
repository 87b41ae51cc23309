"""Creation and ordering of member updates."""

from dataclasses import fields

from balsamrail.membership.member import Member
from balsamrail.messages import Hello, MemberUpdate

_RANK_BY_STATE = {
    'starting': 0,
    'alive': 1,
    'degraded': 2,
    'suspect': 3,
    'leaving': 4,
    'gone': 5,
}
_MEMBER_FIELDS = tuple(field.name for field in fields(Member))
_HELLO_FIELDS = tuple(field.name for field in fields(Hello))


def update_order(update: Member | MemberUpdate) -> tuple[str, int, int]:
    """Return the sort key that orders updates of the same host; the highest one wins.

    A higher refutation takes precedence over any state, so a host that was paused or partitioned
    can return from ``gone``. An unknown state ranks below all others.
    """
    return (update.incarnation, update.refutation, _RANK_BY_STATE.get(update.state, -1))


def is_valid_state(state: str) -> bool:
    """Return whether ``state`` is a known member state."""
    return state in _RANK_BY_STATE


def make_update(member: Member, *, observer: str, state: str | None = None) -> MemberUpdate:
    """Return an update of ``member`` by ``observer``, by default with its known state."""
    values = {name: getattr(member, name) for name in _MEMBER_FIELDS}
    if state is not None:
        values['state'] = state
    return MemberUpdate(observer=observer, **values)


def member_from_update(update: MemberUpdate) -> Member:
    """Return the member described by an update."""
    return Member(**{name: getattr(update, name) for name in _MEMBER_FIELDS})


def update_from_hello(hello: Hello) -> MemberUpdate:
    """Return the update implied by a handshake; a refutation is sent separately."""
    values = {name: getattr(hello, name) for name in _HELLO_FIELDS}
    return MemberUpdate(refutation=0, observer=hello.host, **values)


def make_hello(own: Member) -> Hello:
    """Return the handshake message of this host."""
    return Hello(**{name: getattr(own, name) for name in _HELLO_FIELDS})
