"""Parses the customers of the operator's manifest."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from balsamrail.catalog.customer import Customer
from balsamrail.catalog.rejected_customer import RejectedCustomer
from balsamrail.errors import EntryError
from balsamrail.platform import fields

# The kind of the manifest's entries that describe customers.
CUSTOMERS = 'tenants'
_Value = TypeVar('_Value')
_UNLIMITED: float = 0


@dataclass(slots=True, kw_only=True)
class CustomerReader:
    """Collects the customers of one manifest; an entry that is unreadable is left out alone.

    :param customers: the customers, in the order of their entries.
    :param rejected: the entries that were left out.
    """

    customers: list[Customer] = field(default_factory=list)
    rejected: list[RejectedCustomer] = field(default_factory=list)
    _names: set[str] = field(default_factory=set)

    def read(self, entry: dict[str, Any]) -> None:
        """Add the customer that ``entry`` describes."""
        name = ''
        try:
            name = _parse_field(entry, 'metadata', _parse_name)
            customer = _parse_field(entry, 'spec', lambda spec: _parse_customer(name, spec))
            if name in self._names:
                raise EntryError('an earlier customer has the name')
        except EntryError as error:
            self.rejected.append(RejectedCustomer(name=name, fault=str(error)))
            return
        self._names.add(name)
        self.customers.append(customer)


def _parse_field(
    owner: dict[str, Any], name: str, parse: Callable[[Any], _Value], *default: _Value
) -> _Value:
    """Return a parsed field, or the default if there is one and the field is missing or null.

    :raises EntryError: if the field is missing or malformed; its text contains no value.
    """
    found = owner.get(name)
    if found is None and default:
        return default[0]
    try:
        return parse(found)
    except fields.FIELD_ERRORS as error:
        # Without the cause, whose text has the value.
        raise EntryError(f'{name}: {type(error).__name__}') from None


def _parse_name(metadata: Any) -> str:
    """Return the name, which is sent to targets in a header."""
    name = fields.string(fields.mapping(metadata)['name'])
    if not name.isprintable() or not name.strip() or name != name.strip():
        raise EntryError('name: cannot be sent in a header')
    return name


def _parse_customer(name: str, found: Any) -> Customer:
    spec = fields.mapping(found)
    no_strings: frozenset[str] = frozenset()
    return Customer(
        name=name,
        # An empty text is no key that a request can have.
        api_keys=_parse_field(spec, 'apiKeys', _parse_strings, no_strings) - {''},
        priority=_parse_field(spec, 'priority', _parse_priority, None),
        rate_per_s=_parse_field(spec, 'ratePerS', _parse_rate, _UNLIMITED),
        burst=_parse_field(spec, 'burst', _parse_rate, _UNLIMITED),
        allowed_regions=_parse_field(spec, 'allowedRegions', _parse_strings, no_strings),
    )


def _parse_strings(found: Any) -> frozenset[str]:
    if not isinstance(found, list):
        raise TypeError('not a list')
    return frozenset(fields.string(one) for one in found)


def _parse_priority(found: Any) -> int:
    priority = fields.integer(found)
    if priority < 0:
        raise ValueError('negative')
    return priority


def _parse_rate(found: Any) -> float:
    rate = float(fields.number(found))
    if rate < 0:
        raise ValueError('negative')
    return rate
