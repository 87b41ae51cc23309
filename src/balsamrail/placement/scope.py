"""Names the set of objects that may be placed on the same targets."""

from dataclasses import dataclass
from typing import Self

from balsamrail.placement.ranking import hash_text

# Placement is kept by bucket, so that its size does not grow with the number of objects.
BUCKETS = 4_096


@dataclass(slots=True, kw_only=True, frozen=True)
class Scope:
    """A service and the regions in which its targets may be used, all of them if empty."""

    service: str
    allowed_regions: frozenset[str]

    @property
    def name(self) -> str:
        """The scope as text, for messages between hosts."""
        return '|'.join((self.service, *sorted(self.allowed_regions)))

    @classmethod
    def from_name(cls, name: str) -> Self:
        """Return the scope with a name."""
        service, *regions = name.split('|')
        return cls(service=service, allowed_regions=frozenset(regions))

    def allows(self, region: str) -> bool:
        """Return whether targets in ``region`` may be used."""
        return not self.allowed_regions or region in self.allowed_regions


def bucket_of(object_key: str) -> int:
    """Return the bucket of an object, the same on every host."""
    return hash_text(object_key) % BUCKETS
