"""Versions that order the states of an object across the eras of the store."""

_NUMBER_BITS = 32
_MAX_ERA = 2**20


def join_version(*, era: int, number: int) -> int:
    """Return the version of the state that the store numbered ``number`` in ``era``.

    It is the number itself in era 0, and higher than all versions of the eras before. The number 0
    stands for an object that does not exist.

    :raises ValueError: if a part is out of range.
    """
    if not 0 <= number < 1 << _NUMBER_BITS or not 0 <= era < _MAX_ERA:
        raise ValueError(f'the version {number} of era {era} is out of range')
    return (era << _NUMBER_BITS) + number


def split_version(version: int) -> tuple[int, int]:
    """Return the era and the store's number of a version."""
    return divmod(version, 1 << _NUMBER_BITS)
