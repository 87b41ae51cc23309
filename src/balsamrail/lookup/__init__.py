"""Lookups of the hosts that a caller should use."""

from balsamrail.lookup.block_map import BlockMap, block_number
from balsamrail.lookup.block_sync import BlockSync
from balsamrail.lookup.lookup_handler import LookupHandler
from balsamrail.lookup.lookup_response import LookupResponse
from balsamrail.lookup.lookup_table import LookupTable

__all__ = (
    'BlockMap',
    'BlockSync',
    'LookupHandler',
    'LookupResponse',
    'LookupTable',
    'block_number',
)
