"""Subscription to changes of stored objects."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedSubscribe:
    """Asks the receiver to forward changes of the stored objects for some seconds.

    ``needs_listing`` is true if the sender is new or has missed changes.
    """

    needs_listing: bool
