"""The feed update message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedUpdate:
    """Changes of one kind of the store's objects, or all of them if ``is_listing``.

    ``revision`` is that of the listing. ``written`` and ``removed`` are objects, each packed as
    an array of name, revision and content. ``number`` counts the messages of a subscription.
    """

    number: int
    kind: str
    is_listing: bool
    revision: int
    written: list[bytes]
    removed: list[bytes]
