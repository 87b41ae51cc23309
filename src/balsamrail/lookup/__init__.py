"""Look-ups: which hosts a caller should use."""

from balsamrail.lookup.block_map import BlockMap, block_of
from balsamrail.lookup.block_sync import BlockSync
from balsamrail.lookup.lookup_answer import LookupAnswer
from balsamrail.lookup.lookup_handler import LookupHandler
from balsamrail.lookup.lookup_table import LookupTable

__all__ = (
    'BlockMap',
    'BlockSync',
    'LookupAnswer',
    'LookupHandler',
    'LookupTable',
    'block_of',
)
