"""Customers whose keys are replaced now and then, one of them with a quota."""

import itertools
from dataclasses import dataclass, field
from typing import Any

NAMES = ('plain', 'limited', 'second')
LIMITED = 'limited'
# A third of the callers sends several times as much.
RATE_PER_S = 4
BURST = 4


@dataclass(slots=True, kw_only=True)
class KeyPeriod:
    """How long a key was in the manifest.

    :param begin: when the store acknowledged the manifest with the key.
    :param end: when it acknowledged the manifest without it.
    """

    customer: str
    key: str
    begin: float
    end: float = float('inf')


@dataclass(slots=True, kw_only=True)
class Customers:
    """The customers of a run and the keys that they have had.

    :param names: empty if the manifest has no customers.
    """

    names: tuple[str, ...]
    periods: list[KeyPeriod] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)  # type: ignore[type-arg]

    def keys_of(self, name: str) -> list[str]:
        """Return the keys that a customer has had, the present one last."""
        return [period.key for period in self.periods if period.customer == name]

    def new_key(self) -> str:
        """Return a key that no customer has had."""
        return f'key-{next(self._numbers)}-secret'

    def entries(self, key_by_name: dict[str, str]) -> list[dict[str, Any]]:
        """Return the manifest's entries of the customers, with these keys."""
        quota = {'ratePerS': RATE_PER_S, 'burst': BURST}
        return [
            {
                'entryKind': 'tenants',
                'metadata': {'name': name},
                'spec': {'apiKeys': [key], **(quota if name == LIMITED else {})},
            }
            for name, key in key_by_name.items()
        ]

    def note_keys(self, key_by_name: dict[str, str], *, now: float) -> None:
        """Record the keys of a manifest that the store has acknowledged."""
        for name, key in key_by_name.items():
            if self.periods and any(period.key == key for period in self.periods):
                continue
            for period in self.periods:
                if period.customer == name:
                    period.end = min(period.end, now)
            self.periods.append(KeyPeriod(customer=name, key=key, begin=now))
