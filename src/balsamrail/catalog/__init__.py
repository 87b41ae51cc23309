"""A host's view of the configuration: the active manifest, the targets and the evacuations."""

from balsamrail.catalog.caller_limits import CallerLimits
from balsamrail.catalog.manifest import Manifest
from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.catalog.service_part import ServicePart
from balsamrail.catalog.service_spec import ServiceSpec
from balsamrail.catalog.target_entry import TargetEntry

__all__ = (
    'CallerLimits',
    'Manifest',
    'ManifestRoute',
    'ServicePart',
    'ServiceSpec',
    'TargetEntry',
)
