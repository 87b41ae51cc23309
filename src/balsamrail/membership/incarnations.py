"""Format of incarnations, see :class:`~balsamrail.membership.member.Member`."""

# Leading hexadecimal digits that encode the start time.
_TIMESTAMP_DIGITS = 12


def started_ms(incarnation: str) -> int:
    """Return the wall time of the start that an incarnation encodes, in milliseconds."""
    return int(incarnation[:_TIMESTAMP_DIGITS], 16)


def advanced_beyond(other: str, *, own: str) -> str:
    """Return the incarnation ``own`` with a start time just after that of another one."""
    return f'{started_ms(other) + 1:0{_TIMESTAMP_DIGITS}x}{own[_TIMESTAMP_DIGITS:]}'
