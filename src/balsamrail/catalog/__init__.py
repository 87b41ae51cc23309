"""A host's view of the configuration: the active manifest, the targets and the evacuations."""

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.catalog.service_spec import ServiceSpec
from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.catalog.weighted_service import WeightedService

__all__ = (
    'CallerLimits',
    'Manifest',
    'ManifestRoute',
    'ServiceSpec',
    'TargetEntry',
    'WeightedService',
)
