"""Store connectivity of a feed source."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedStatus:
    """Informs a subscriber whether the sender receives changes from the store.

    ``hops`` is the number of hosts between the sender and the store, 0 if the sender is connected
    to the store itself. ``store_up_ms`` is for how long the store has been responding, 0 while it
    is not. ``era`` is the newest era of the store of which the sender has a listing of each kind.
    ``number`` is that of the last message of the subscription.
    """

    number: int
    is_current: bool
    hops: int
    store_up_ms: int
    era: int
