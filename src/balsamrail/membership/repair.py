"""Contacts that let hosts rejoin after a start or a network partition."""

import random
from collections.abc import Callable, Sequence

from balsamrail.membership.members import Members

# A host that knows at most this many live members, itself included, is starting or partitioned.
_MAX_MEMBERS_WHEN_ISOLATED = 3
_BOOTSTRAP_CONTACTS = 3
# Probability per heartbeat interval: each host contacts a gone member about every 10 s. This is
# 92 attempts/s in a fleet of 920 hosts, so that 300 hosts on the other side of a healed partition
# are all found within seconds.
_GONE_CONTACT_PROBABILITY = 0.1


def choose_contacts(
    *,
    members: Members,
    seeds: Sequence[str],
    is_excluded: Callable[[str], bool],
) -> list[str]:
    """Return the peer addresses to open a stream to in this heartbeat interval, usually none.

    A partitioned member does not know that the others consider it gone. One of them has to
    contact it once it is reachable again, so that it refutes.
    """
    own = members.local_member()
    if len(members.alive()) <= _MAX_MEMBERS_WHEN_ISOLATED:
        listed = [
            entry.address
            for entry in members.host_list.hosts()
            if entry.host != own.host and not is_excluded(entry.address)
        ]
        known = {member.peer_address for member in members.alive()}
        candidates = sorted({*listed, *seeds} - known - {own.peer_address})
        return random.sample(candidates, min(_BOOTSTRAP_CONTACTS, len(candidates)))
    if random.random() >= _GONE_CONTACT_PROBABILITY:
        return []
    gone = [
        member.peer_address
        for member in members.known()
        if member.state == 'gone'
        and not members.is_self_reported(member.host)
        and not members.host_list.is_unlisted(member.host)
    ]
    return [random.choice(gone)] if gone else []
