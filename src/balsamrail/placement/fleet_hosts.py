"""The hosts among which the limits of targets are divided."""

from collections.abc import Iterable, Mapping

from balsamrail.placement.rendezvous_hashing import hash_text, mix_hashes


class FleetHosts:
    """The hosts that may send requests, ranked for each target alike by all hosts.

    Unreachable hosts have to be included, since they may still be sending::

        fleet = FleetHosts(own_host='attiki-a-1', own_region='attiki')
        fleet.replace({'attiki-a-2': 'attiki', 'thess-a-1': 'makedonia'})
        fleet.hosts_ahead('i-1', fleet.names)  # 2 if this host ranks last for the target
    """

    __slots__ = ('_own_region', 'generation', 'names', 'near_hosts', 'own_host', 'region_by_host')

    def __init__(self, *, own_host: str, own_region: str) -> None:
        self.own_host = own_host
        self._own_region = own_region
        # Empty until the other hosts are known.
        self.region_by_host: dict[str, str] = {}
        self.names: tuple[str, ...] = ()
        # Rises with each change of the hosts.
        self.generation = 0
        # The number of hosts of the own region, this one included.
        self.near_hosts = 1

    def replace(self, region_by_host: Mapping[str, str]) -> None:
        """Replace the set of all hosts.

        :param region_by_host: the region of each host, empty if it is not known.
        """
        updated = {**region_by_host, self.own_host: self._own_region}
        if updated == self.region_by_host:
            return
        self.region_by_host = updated
        self.names = tuple(sorted(updated))
        self.generation += 1
        self.near_hosts = sum(region == self._own_region for region in updated.values())

    def split_by_region(self, region: str) -> tuple[list[str], list[str]]:
        """Return the hosts that are near a region and the others.

        Hosts whose region is not known count as near.
        """
        near = [host for host in self.names if self.region_by_host[host] in {region, ''}]
        far = [host for host in self.names if self.region_by_host[host] not in {region, ''}]
        return near, far

    def hosts_ahead(self, target_id: str, hosts: Iterable[str]) -> int:
        """Return how many of ``hosts`` rank before this host for a target."""
        target_hash = hash_text(target_id)
        own = mix_hashes(hash_text(self.own_host), target_hash)
        return sum(mix_hashes(hash_text(host), target_hash) > own for host in hosts)
