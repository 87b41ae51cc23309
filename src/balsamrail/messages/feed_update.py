"""Changes of stored objects."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class FeedUpdate:
    """Changes of one kind of stored objects, or all objects of the kind if ``is_listing``.

    ``era`` and ``revision`` are those of the listing. ``written`` and ``removed`` contain objects as
    packed by :mod:`balsamrail.fleet.object_codec`. ``number`` counts the messages of a subscription.
    """

    number: int
    kind: str
    is_listing: bool
    era: int
    revision: int
    written: list[bytes]
    removed: list[bytes]
