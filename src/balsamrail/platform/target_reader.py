"""Parses the registrations of targets in the store."""

from collections.abc import Mapping
from typing import Any

from balsamrail.catalog import TargetEntry
from balsamrail.errors import EntryError
from balsamrail.platform import fields
from balsamrail.settings.address import split_address

_KNOWN_STATES = frozenset(('ready', 'draining'))
# Beyond these, an entry is not that of a target.
_MAX_SLOTS = 1_000_000
_MAX_COLD_S = 86_400


def read_target(
    *, target_id: str, spec: Any, region_by_availability_zone: Mapping[str, str]
) -> TargetEntry:
    """Return the target that an object of the kind ``servers`` describes.

    Other clients can write objects of this kind too, so every field is checked.

    :raises EntryError: if a field is missing or malformed.
    """
    try:
        return _parse_target(target_id, spec, region_by_availability_zone)
    except fields.FIELD_ERRORS as error:
        raise EntryError(f'malformed entry of the target {target_id}: {error!r}') from error


def _parse_target(
    target_id: str, spec: dict[str, Any], region_by_zone: Mapping[str, str]
) -> TargetEntry:
    fields.mapping(spec)
    if spec['state'] not in _KNOWN_STATES:
        raise ValueError(f'the state {spec["state"]!r} is unknown')
    split_address(fields.string(spec['address']))
    zone = fields.string(spec['zone'])
    slots = fields.integer(spec['slots'])
    cold_left_s = fields.number(spec.get('warmupLeftS', 0))
    if slots > _MAX_SLOTS or cold_left_s > _MAX_COLD_S:
        raise ValueError(f'{slots} slots or {cold_left_s} s until the target is warm are too many')
    return TargetEntry(
        target_id=target_id,
        service=fields.string(spec['service']),
        address=spec['address'],
        availability_zone=zone,
        region=region_by_zone[zone],
        version=fields.string(spec.get('version', '')),
        slots=max(1, slots),
        is_draining=spec['state'] == 'draining',
        cold_left_s=max(0, cold_left_s),
        born_ms=fields.integer(spec.get('born', 0)),
        sequence=fields.integer(spec.get('sequence', 0)),
    )
