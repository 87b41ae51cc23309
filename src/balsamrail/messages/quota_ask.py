"""Request of a host to a coordinator for quota tokens."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class QuotaAsk:
    """Asks the coordinator of ``role`` for tokens, and may delegate the sender's share to it.

    ``number`` is returned in the reply. ``epoch`` and ``stamp_ms`` are those of the last reply of
    this coordinator, 0 if there was none. The sender delegates its share for ``valid_ms`` from that
    stamp on the coordinator's clock; 0 means that it does not. ``is_deposit`` tells that the share
    comes with an initial number of tokens, ``is_leaving`` that the sender withdraws it.
    ``fleet_size`` is the number of hosts that the sender knows. ``urgent_by_customer`` tells how many
    of the wanted tokens are for urgent requests; customers without any are left out.
    ``offered_by_customer`` are the requests that callers sent since the last message.
    """

    role: int
    number: int
    epoch: int
    stamp_ms: int
    valid_ms: int
    is_deposit: bool
    is_leaving: bool
    fleet_size: int
    wanted_by_customer: dict[str, int]
    urgent_by_customer: dict[str, int]
    offered_by_customer: dict[str, int]
