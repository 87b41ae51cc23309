"""The declaration that operators submit."""

from dataclasses import dataclass, field

from apischema import schema

from balsamrail.configuration.link import Link
from balsamrail.configuration.region import Region
from balsamrail.configuration.service import Service
from balsamrail.configuration.target import Target
from balsamrail.configuration.trial import Trial


@dataclass(slots=True, kw_only=True, frozen=True)
class Declaration:
    """Services, their dependencies, and the regions and links that they run on.

    Use :func:`balsamrail.configuration.load_declaration` to parse and validate one.
    """

    deployment: str
    regions: dict[str, Region] = field(metadata=schema(min_props=1))
    services: dict[str, Service] = field(metadata=schema(min_props=1))
    links: list[Link] = field(default_factory=list)
    trial: Trial = field(default_factory=Trial)

    def targets_in(self, *, service: str, region: str) -> list[Target]:
        """Return the targets of a service in a region, in declaration order."""
        zones = self.regions[region].availability_zones
        targets = self.services[service].targets
        return [target for target in targets if target.availability_zone in zones]
