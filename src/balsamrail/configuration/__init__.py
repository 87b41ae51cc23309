"""The declaration, its checks and the record that says which one is in force."""

from balsamrail.configuration.cap import Cap
from balsamrail.configuration.checks import load_declaration
from balsamrail.configuration.declaration import Declaration
from balsamrail.configuration.link import Link
from balsamrail.configuration.region import Region
from balsamrail.configuration.route import Route
from balsamrail.configuration.service import Service
from balsamrail.configuration.target import Target
from balsamrail.configuration.trial import Trial

__all__ = (
    'Cap',
    'Declaration',
    'Link',
    'Region',
    'Route',
    'Service',
    'Target',
    'Trial',
    'load_declaration',
)
