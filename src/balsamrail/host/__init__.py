"""The pieces of a host process: listeners, supervised tasks, the planned stop."""

from balsamrail.host.application import CallerApplication
from balsamrail.host.library_logs import LibraryLogHandler
from balsamrail.host.operator_handlers import operator_routes
from balsamrail.host.parts import Parts
from balsamrail.host.planned_stop import PlannedStop
from balsamrail.host.supervisor import Supervisor

__all__ = (
    'CallerApplication',
    'LibraryLogHandler',
    'Parts',
    'PlannedStop',
    'Supervisor',
    'operator_routes',
)
