"""A retry budget, which prevents retries from multiplying load."""

_RETRIES_PER_REQUEST = 0.2
# Lets a host with little traffic retry a few times, and limits bursts of retries.
_MAX_BALANCE = 10.0


class RetryBudget:
    """Allows retries up to a fraction of first attempts, 20% by default::

    budget.deposit()
    if budget.try_withdraw():
        ...
    """

    __slots__ = ('_balance', '_fraction')

    def __init__(self, *, fraction: float = _RETRIES_PER_REQUEST) -> None:
        self._fraction = fraction
        self._balance = _MAX_BALANCE

    def deposit(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self._balance = min(_MAX_BALANCE, self._balance + self._fraction)

    def has_balance(self) -> bool:
        """Return whether the balance allows a retry."""
        return self._balance >= 1

    def try_withdraw(self) -> bool:
        """Withdraw one retry, or return ``False`` if the balance does not allow it."""
        if not self.has_balance():
            return False
        self._balance -= 1
        return True
