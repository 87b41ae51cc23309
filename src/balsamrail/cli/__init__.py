"""The command line."""

from balsamrail.cli.main import main

__all__ = ('main',)
