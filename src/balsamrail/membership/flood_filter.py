"""Remembers which messages a host has passed on."""

from collections import OrderedDict

Version = tuple[int | float | str, ...]

# About 2 MB. A fleet of 920 hosts has one topic for each member and few others in flight at a
# time, so a topic stays remembered for far longer than a flood takes.
_MOST_TOPICS = 8_192


class FloodFilter:
    """Lets each version of a topic pass once, and only if it is higher than the last.

    Memory is bounded: the topic that was used least recently is forgotten first.
    """

    __slots__ = ('_most_topics', '_version_by_topic')

    def __init__(self, *, most_topics: int = _MOST_TOPICS) -> None:
        self._most_topics = most_topics
        self._version_by_topic: OrderedDict[str, Version] = OrderedDict()

    def __len__(self) -> int:
        return len(self._version_by_topic)

    def admit(self, topic: str, version: Version) -> bool:
        """Tell whether the message should be passed on, and remember that it was."""
        last = self._version_by_topic.get(topic)
        if last is not None:
            self._version_by_topic.move_to_end(topic)
            if version <= last:
                return False
        self._version_by_topic[topic] = version
        if len(self._version_by_topic) > self._most_topics:
            self._version_by_topic.popitem(last=False)
        return True
