"""Steering: shares, weights and the choice of region and target."""

from balsamrail.steering.admission import Admission
from balsamrail.steering.attempt_result import AttemptResult
from balsamrail.steering.router import Router

__all__ = ('Admission', 'AttemptResult', 'Router')
