"""The budget that keeps retries from multiplying load."""

_RETRIES_PER_FIRST_TRY = 0.2
# A quiet host may still retry a few times, and saved up retries cannot become a burst.
_MOST_SAVED = 10.0


class RetryBudget:
    """Allows retries up to a fraction of first tries, 20% by default::

    budget.add_first_try()
    if budget.take_retry():
        ...
    """

    __slots__ = ('_fraction', '_saved')

    def __init__(self, *, fraction: float = _RETRIES_PER_FIRST_TRY) -> None:
        self._fraction = fraction
        self._saved = _MOST_SAVED

    def add_first_try(self) -> None:
        """Count a first try, which earns a fraction of a retry."""
        self._saved = min(_MOST_SAVED, self._saved + self._fraction)

    def has_retry(self) -> bool:
        """Return whether a retry would be allowed now."""
        return self._saved >= 1

    def take_retry(self) -> bool:
        """Use up one retry and return whether it is allowed."""
        if not self.has_retry():
            return False
        self._saved -= 1
        return True
