"""Reads what a target registered in the store."""

from collections.abc import Mapping
from typing import Any

from balsamrail.catalog import TargetEntry
from balsamrail.errors import EntryError
from balsamrail.settings.address import split_address

_STATES = frozenset(('ready', 'draining'))


def read_target(
    *, target_id: str, spec: Any, region_by_availability_zone: Mapping[str, str]
) -> TargetEntry:
    """Return the target that an object of the kind ``servers`` describes.

    Other writers leave objects there too, so every field is checked.

    :raises EntryError: if it names no target that can be used.
    """
    try:
        return _read(target_id, spec, region_by_availability_zone)
    except (KeyError, TypeError, ValueError) as error:
        raise EntryError(f'the target {target_id} cannot be read: {error!r}') from error


def _read(target_id: str, spec: dict[str, Any], regions: Mapping[str, str]) -> TargetEntry:
    if spec['state'] not in _STATES:
        raise ValueError(f'the state {spec["state"]!r} is not known')
    split_address(_typed(spec['address'], str))
    zone = _typed(spec['zone'], str)
    born_ms = spec.get('born', 0)
    return TargetEntry(
        target_id=target_id,
        service=_typed(spec['service'], str),
        address=spec['address'],
        availability_zone=zone,
        region=regions[zone],
        version=str(spec.get('version', '')),
        slots=max(1, _typed(spec['slots'], int)),
        is_draining=spec['state'] == 'draining',
        cold_left_s=max(0, _number(spec.get('warmupLeftS', 0))),
        born_ms=born_ms if type(born_ms) is int else 0,
    )


def _typed(value: Any, kind: type[Any]) -> Any:
    if type(value) is not kind:
        raise TypeError(f'{value!r} is not {kind.__name__}')
    return value


def _number(value: Any) -> float:
    if type(value) not in {int, float}:
        raise TypeError(f'{value!r} is not a number')
    return float(value)
