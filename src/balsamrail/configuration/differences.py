"""Comparison of two JSON documents."""

from typing import Any

from balsamrail.documents import format_path


def differing_paths(left: Any, right: Any) -> list[str]:
    """Return the path of each place where two documents differ.

    Lists of different lengths are reported as one difference, without their items::

        >>> differing_paths({'a': {'b': 1}}, {'a': {'b': 2}, 'c': 0})
        ['$.a.b', '$.c']
    """
    return [format_path(*parts) for parts in _differences(left, right)]


def _differences(left: Any, right: Any) -> list[tuple[str | int, ...]]:
    match left, right:
        case dict(), dict():
            return [
                (key, *parts)
                for key in sorted(left.keys() | right.keys())
                for parts in (
                    _differences(left[key], right[key]) if key in left and key in right else [()]
                )
            ]
        case list(), list() if len(left) == len(right):
            return [
                (index, *parts)
                for index, (one, other) in enumerate(zip(left, right, strict=True))
                for parts in _differences(one, other)
            ]
    # In JSON true and 1 are different values, but in Python True == 1.
    return [] if left == right and isinstance(left, bool) == isinstance(right, bool) else [()]
