"""When an incarnation can hold nothing any more (section 7)."""

from balsamrail.membership.member_entry import MemberEntry


def is_proved_gone(
    *,
    incarnation: str,
    entry: MemberEntry | None,
    absent_s: float,
    grace_s: float,
    now: float,
) -> bool:
    """Tell whether an incarnation is proved gone; the evidence has to last for ``grace_s``.

    The proof is a newer incarnation, the host's own word that it finished, or the verdict of the
    observers together with the platform's list. A host without an entry counts by its absence
    from the list alone, since all who watched it may be gone as well.

    :param absent_s: for how long the platform's list has missed the host.
    """
    if entry is None:
        return absent_s >= grace_s
    if incarnation != entry.member.incarnation:
        is_older = incarnation < entry.member.incarnation
        return is_older and now - entry.incarnation_since >= grace_s
    if entry.member.state != 'gone' or now - entry.state_since < grace_s:
        return False
    return entry.said_itself or absent_s >= grace_s
