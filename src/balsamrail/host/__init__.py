"""Composition of a host process: its components, the caller listener, graceful shutdown."""

from balsamrail.host.application import CallerApplication
from balsamrail.host.graceful_shutdown import GracefulShutdown
from balsamrail.host.parts import Parts

__all__ = ('CallerApplication', 'GracefulShutdown', 'Parts')
