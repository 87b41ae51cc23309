"""Checksums of a member table."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class MemberDigest:
    """Checksums of the sender's member table, which the receiver compares with its own.

    ``prefix`` consists of the first hexadecimal digits of the positions of the covered members,
    and ``sums`` contains one checksum for each next digit.
    """

    prefix: str
    sums: bytes
