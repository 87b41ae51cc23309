"""Subsetting of a service's targets per host."""

from balsamrail.configuration import Target
from balsamrail.steering.rendezvous import rendezvous_order, rendezvous_score


def subset_for_host(targets: list[Target], *, host: str, hosts: list[str]) -> list[Target]:
    """Return the targets that ``host`` may use, such that no target exceeds its connections.

    A host may open as many connections to a target as the target has slots. A target therefore
    accepts the ``connections // slots`` hosts that rendezvous hashing ranks highest for it. A host
    that no target accepts uses the target for which it has the highest score.
    """
    chosen = [target for target in targets if _accepts_host(target, host=host, hosts=hosts)]
    if chosen or not targets:
        return chosen
    by_score = {rendezvous_score(key=target.address, name=host): target for target in targets}
    return [by_score[max(by_score)]]


def _accepts_host(target: Target, *, host: str, hosts: list[str]) -> bool:
    max_hosts = max(1, target.connections // target.slots)
    if len(hosts) <= max_hosts:
        return True
    return host in rendezvous_order(key=target.address, names=hosts)[:max_hosts]
