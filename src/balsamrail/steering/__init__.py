"""Traffic steering: capacity shares, region weights, and selection of regions and targets."""

from balsamrail.steering.admission import Admission
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.router import Router

__all__ = ('Admission', 'AttemptResult', 'Router')
