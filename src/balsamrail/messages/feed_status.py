"""The feed status message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedStatus:
    """Tells a subscriber whether the sender hears of the store.

    ``hops`` is by how many hosts it is away from the store, 0 if it hears from the store itself.
    ``store_up_ms`` is for how long the store has answered, 0 while it does not. ``number`` is
    that of the last message of the subscription.
    """

    number: int
    is_current: bool
    hops: int
    store_up_ms: int
