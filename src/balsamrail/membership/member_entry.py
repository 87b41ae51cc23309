"""An entry of the member table."""

from dataclasses import dataclass, field

from balsamrail.membership.member import Member


@dataclass(slots=True, kw_only=True)
class MemberEntry:
    """A member with the monotonic times, in seconds, at which this host learned its state.

    ``suspected_at_by_observer`` maps each observer to the time its suspicion arrived.
    ``is_self_reported`` is true if the member announced its current state itself.
    ``retained_in_panic`` is true while panic mode keeps a gone member in lookups.
    """

    member: Member
    state_since: float
    incarnation_since: float
    suspected_at_by_observer: dict[str, float] = field(default_factory=dict)
    is_self_reported: bool = False
    retained_in_panic: bool = False
