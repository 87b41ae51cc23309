"""The budget that keeps retries from multiplying load."""

_RETRIES_PER_REQUEST = 0.2
# A quiet host may still retry a few times, and saved up retries cannot become a burst.
_MAX_BALANCE = 10.0


class RetryBudget:
    """Allows retries up to a fraction of first tries, 20% by default::

    budget.add_first_try()
    if budget.take_retry():
        ...
    """

    __slots__ = ('_balance', '_fraction')

    def __init__(self, *, fraction: float = _RETRIES_PER_REQUEST) -> None:
        self._fraction = fraction
        self._balance = _MAX_BALANCE

    def deposit(self) -> None:
        """Count a first try, which earns a fraction of a retry."""
        self._balance = min(_MAX_BALANCE, self._balance + self._fraction)

    def has_balance(self) -> bool:
        """Return whether a retry would be allowed now."""
        return self._balance >= 1

    def try_withdraw(self) -> bool:
        """Use up one retry and return whether it is allowed."""
        if not self.has_balance():
            return False
        self._balance -= 1
        return True
