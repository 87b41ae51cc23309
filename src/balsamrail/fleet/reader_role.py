"""The part of a host in reading the store for its region."""

from enum import Enum


class ReaderRole(Enum):
    """Who reads the store so that the manifest of the region's hosts stays confirmed."""

    # The first watcher with contact to the store, which reads regularly.
    first = 'first'
    # Another watcher, which reads if the first one does not.
    reserve = 'reserve'
    # A host that follows others, and reads only if none of these has evidence.
    follower = 'follower'
