"""Command-line interface."""

from balsamrail.cli.main import main

__all__ = ('main',)
