"""How the platform maintains the host list."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class HostListPolicy:
    """Determines how often the host list is read and what a missing entry means.

    By default 920 hosts poll every 61 s on average, and up to 75 hosts poll every 5 s.

    :param fleet_polls_per_s: the list calls per second of all hosts together.
    :param entries_expire: whether the platform removes the entries of hosts that are lost.
    """

    fleet_polls_per_s: float = 15
    entries_expire: bool = True
