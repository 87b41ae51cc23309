"""Composition of a host process: its components, the caller listener, graceful shutdown."""

from balsamrail.host.application import CallerApplication
from balsamrail.host.parts import Parts
from balsamrail.host.planned_stop import GracefulShutdown

__all__ = ('CallerApplication', 'GracefulShutdown', 'Parts')
