"""Client of the platform's object store and host list."""

from balsamrail.store.host_directory import HostDirectory
from balsamrail.store.http_store import HttpStore
from balsamrail.store.listed_host import ListedHost
from balsamrail.store.store import Store
from balsamrail.store.store_era import StoreEra
from balsamrail.store.stored_object import StoredObject
from balsamrail.store.verified_write import VerifiedWrite

__all__ = (
    'HostDirectory',
    'HttpStore',
    'ListedHost',
    'Store',
    'StoreEra',
    'StoredObject',
    'VerifiedWrite',
)
