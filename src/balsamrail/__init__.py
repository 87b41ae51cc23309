"""Steers callers' traffic across availability zones and regions."""

from balsamrail.configuration import Declaration, load_declaration
from balsamrail.environment import Environment
from balsamrail.errors import BalsamrailError
from balsamrail.settings import Settings

__all__ = ('BalsamrailError', 'Declaration', 'Environment', 'Settings', 'load_declaration')
