"""Settings of a process, read from a JSON file."""

from balsamrail.settings.address import Address
from balsamrail.settings.bounds import Bounds
from balsamrail.settings.limits import Limits
from balsamrail.settings.settings import Settings
from balsamrail.settings.store_settings import StoreSettings

__all__ = ('Address', 'Bounds', 'Limits', 'Settings', 'StoreSettings')
