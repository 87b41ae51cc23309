"""Updates about members: their order and their making."""

from dataclasses import fields

from balsamrail.membership.member import Member
from balsamrail.messages import Hello, MemberUpdate

_RANK_BY_STATE = {'starting': 0, 'alive': 1, 'suspect': 2, 'leaving': 3, 'gone': 4}
_MEMBER_FIELDS = tuple(field.name for field in fields(Member))
_HELLO_FIELDS = tuple(field.name for field in fields(Hello))


def update_order(update: Member | MemberUpdate) -> tuple[str, int, int]:
    """Return the key by which the higher of two updates of the same host wins.

    A higher refutation wins over any state, so a host that was paused or cut off comes back from
    ``gone`` by its own word. An unknown state ranks below all others.
    """
    return (update.incarnation, update.refutation, _RANK_BY_STATE.get(update.state, -1))


def is_valid_state(state: str) -> bool:
    """Tell whether ``state`` is one of the states of a member."""
    return state in _RANK_BY_STATE


def make_update(member: Member, *, observer: str, state: str | None = None) -> MemberUpdate:
    """Return what ``observer`` says of ``member``, with its known state by default."""
    values = {name: getattr(member, name) for name in _MEMBER_FIELDS}
    if state is not None:
        values['state'] = state
    return MemberUpdate(observer=observer, **values)


def member_of(update: MemberUpdate) -> Member:
    """Return the member as the update describes it."""
    return Member(**{name: getattr(update, name) for name in _MEMBER_FIELDS})


def update_from_hello(hello: Hello) -> MemberUpdate:
    """Return what a host says of itself by opening a stream; any refutation is told separately."""
    values = {name: getattr(hello, name) for name in _HELLO_FIELDS}
    return MemberUpdate(refutation=0, observer=hello.host, **values)


def hello_of(own: Member) -> Hello:
    """Return the message with which a host begins each stream."""
    return Hello(**{name: getattr(own, name) for name in _HELLO_FIELDS})
