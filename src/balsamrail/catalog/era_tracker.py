"""Detection of a new era of the store."""


class EraTracker:
    """Keeps the newest era of the store, 0 while none is known."""

    __slots__ = ('era',)

    def __init__(self) -> None:
        self.era = 0

    def advance(self, era: int) -> bool:
        """Note an era; return whether the store came back from an older copy since the last one.

        The first era that is known is no return.
        """
        is_return = 0 < self.era < era
        self.era = max(self.era, era)
        return is_return
