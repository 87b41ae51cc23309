"""Deduplication of flooded messages."""

from collections import OrderedDict

Version = tuple[int | float | str, ...]

# About 2 MB. A fleet of 920 hosts has one topic per member and few others in flight at a time, so
# a topic is retained for far longer than a flood takes.
_MAX_TOPICS = 8_192


class FloodFilter:
    """Accepts each version of a topic once, and only if it is higher than the previous one.

    Memory is bounded by evicting the least recently used topic.
    """

    __slots__ = ('_max_topics', '_version_by_topic')

    def __init__(self, *, max_topics: int = _MAX_TOPICS) -> None:
        self._max_topics = max_topics
        self._version_by_topic: OrderedDict[str, Version] = OrderedDict()

    def __len__(self) -> int:
        return len(self._version_by_topic)

    def admit(self, topic: str, version: Version) -> bool:
        """Return whether the message should be forwarded, and record its version."""
        last = self._version_by_topic.get(topic)
        if last is not None:
            self._version_by_topic.move_to_end(topic)
            if version <= last:
                return False
        self._version_by_topic[topic] = version
        if len(self._version_by_topic) > self._max_topics:
            self._version_by_topic.popitem(last=False)
        return True
