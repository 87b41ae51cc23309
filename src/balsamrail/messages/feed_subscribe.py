"""The feed subscribe message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedSubscribe:
    """Asks the receiver to pass on changes of the store's objects for some seconds.

    ``needs_listing`` is true if the sender has missed something or is new.
    """

    needs_listing: bool
