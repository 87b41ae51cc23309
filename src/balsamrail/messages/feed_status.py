"""The feed status message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedStatus:
    """Tells a subscriber whether the sender hears from the store.

    ``store_up_ms`` is for how long the store has answered it, 0 while it does not. ``number`` is
    that of the last message of the subscription.
    """

    number: int
    is_current: bool
    store_up_ms: int
