"""A customer entry of the manifest that was left out."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class RejectedCustomer:
    """An unreadable customer entry.

    :param name: the customer's name, empty if it is unreadable.
    :param fault: the kind of fault, without values of the entry, since these may be keys.
    """

    name: str
    fault: str
