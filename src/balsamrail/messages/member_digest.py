"""The member digest message."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberDigest:
    """Sums of the sender's member table, for a receiver that compares them with its own.

    ``prefix`` holds the first hexadecimal digits of the positions of the members that are summed,
    and ``sums`` one sum for each next digit.
    """

    prefix: str
    sums: bytes
