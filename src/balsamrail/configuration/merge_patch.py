"""JSON merge patches (RFC 7396)."""

from typing import Any


def make_merge_patch(old: Any, new: Any) -> Any:
    """Return the patch that turns ``old`` into ``new``.

    In a merge patch, ``null`` removes a member, so a member cannot be set to ``null``. If ``new``
    may contain such members, the caller has to verify the result::

        make_merge_patch({'a': 1, 'b': 2}, {'a': 1, 'c': 3})  # {'b': None, 'c': 3}
    """
    if not isinstance(old, dict) or not isinstance(new, dict):
        return new
    patch = {key: None for key in old if key not in new}
    for key, value in new.items():
        if key not in old:
            patch[key] = value
        elif old[key] != value:
            patch[key] = make_merge_patch(old[key], value)
    return patch


def apply_merge_patch(target: Any, patch: Any) -> Any:
    """Return ``target`` with the patch applied, without modifying ``target``."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_merge_patch(result.get(key), value)
    return result
