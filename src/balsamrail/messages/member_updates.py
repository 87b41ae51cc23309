"""Several member updates in one message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberUpdates:
    """Member updates that a host sends on a stream within a short time.

    ``packed`` contains them in the order in which they were sent, see
    :func:`~balsamrail.messages.member_updates_codec.pack_updates`.
    """

    packed: bytes
