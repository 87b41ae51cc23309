"""The pieces of a node's process: its parts, the callers' listener, the planned stop."""

from balsamrail.host.application import CallerApplication
from balsamrail.host.parts import Parts
from balsamrail.host.planned_stop import PlannedStop

__all__ = ('CallerApplication', 'Parts', 'PlannedStop')
