"""Client of the platform's object store and host list."""

from balsamrail.store.host_source import HostSource
from balsamrail.store.http_store import HttpStore
from balsamrail.store.listed_host import ListedHost
from balsamrail.store.settled_write import SettledWrite
from balsamrail.store.store import Store
from balsamrail.store.stored_object import StoredObject

__all__ = ('HostSource', 'HttpStore', 'ListedHost', 'SettledWrite', 'Store', 'StoredObject')
