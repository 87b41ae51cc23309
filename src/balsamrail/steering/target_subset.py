"""The part of a service's targets that one host connects to."""

from balsamrail.configuration import Target
from balsamrail.steering.rendezvous import rendezvous_order, rendezvous_score


def subset_of(targets: list[Target], *, host: str, hosts: list[str]) -> list[Target]:
    """Return the targets that ``host`` may use, so that all hosts fit a target's connections.

    A host may have as many connections to a target as the target has slots. A target therefore
    takes the ``connections // slots`` hosts that rendezvous hashing ranks highest for it. A host
    that no target takes uses the target that ranks it highest.
    """
    chosen = [target for target in targets if _takes(target, host=host, hosts=hosts)]
    if chosen or not targets:
        return chosen
    by_score = {rendezvous_score(key=target.address, name=host): target for target in targets}
    return [by_score[max(by_score)]]


def _takes(target: Target, *, host: str, hosts: list[str]) -> bool:
    most = max(1, target.connections // target.slots)
    if len(hosts) <= most:
        return True
    return host in rendezvous_order(key=target.address, names=hosts)[:most]
