"""Which host coordinates which part of the quotas."""

from collections.abc import Iterable

from balsamrail.placement.rendezvous_hashing import hash_text, mix_hashes

# Several coordinators each give a part of a customer's tokens. The loss of one of three leaves two
# thirds of the quota until the shares that hosts delegated to it have lapsed, which is more than the
# usual use. Two would leave too little, and with four the parts of small customers are too small.
PARTS = 3
# Divides the work of the coordinators without making every host delegate its share too often.
_GROUPS = 3
ROLE_COUNT = _GROUPS * PARTS


def roles_of(customer: str) -> tuple[int, ...]:
    """Return the roles that give tokens of a customer."""
    first = hash_text(f'quota/{customer}') % _GROUPS * PARTS
    return tuple(range(first, first + PARTS))


def coordinators(hosts: Iterable[str]) -> tuple[str, ...]:
    """Return the coordinator of each role, the same on all hosts that know the same hosts.

    The roles are ranked independently, so that the loss of a host moves only its own roles.

    :param hosts: the hosts that serve, at least one.
    """
    names = sorted(hosts)
    hashes = [hash_text(f'quota-host/{name}') for name in names]
    return tuple(
        _first(names, hashes, hash_text(f'quota-role/{role}')) for role in range(ROLE_COUNT)
    )


def _first(names: list[str], hashes: list[int], role_hash: int) -> str:
    _, name = max(
        (mix_hashes(role_hash, host_hash), name)
        for name, host_hash in zip(names, hashes, strict=True)
    )
    return name
