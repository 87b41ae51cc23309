"""Reads the operator's manifest from the object ``config/main``."""

from typing import Any

from balsamrail.catalog import CallerLimits, Manifest, ManifestRoute, ServicePart, ServiceSpec
from balsamrail.errors import EntryError

_IDEMPOTENT = 'idempotent'


def read_manifest(spec: Any) -> Manifest:
    """Return the manifest that ``spec`` describes.

    Entries of kinds that are not known here are passed over.

    :raises EntryError: if a field is missing or of another type.
    """
    try:
        return _read(spec)
    except (KeyError, TypeError, ValueError) as error:
        raise EntryError(f'the manifest cannot be read: {error!r}') from error


def _read(spec: dict[str, Any]) -> Manifest:
    routes: list[ManifestRoute] = []
    services: dict[str, ServiceSpec] = {}
    limits = CallerLimits()
    for entry in spec['resources']:
        name = _object(_object(entry).get('metadata', {})).get('name', '')
        match entry['entryKind']:
            case 'routes':
                routes.append(_route(name, _object(entry['spec'])))
            case 'services':
                services[name] = _service(name, _object(entry['spec']))
            case 'limits':
                limits = _limits(entry['spec'])
    return Manifest(
        version=_whole(spec['version']),
        routes=tuple(routes),
        services=services,
        limits=limits,
    )


def _route(name: str, spec: dict[str, Any]) -> ManifestRoute:
    split = spec.get('weightedServices') or [{'service': spec.get('service'), 'weight': 1}]
    return ManifestRoute(
        name=name,
        host=_text(spec['host']).lower(),
        path_prefix=_text(spec['pathPrefix']),
        is_idempotent=spec['kind'] == _IDEMPOTENT,
        timeout_s=float(spec['timeoutS']),
        aim_s=float(spec.get('aimS') or spec['timeoutS']),
        priority=int(spec.get('priority', 0)),
        max_attempts=max(1, int(spec.get('maxAttempts', 1))),
        is_sticky=bool(spec.get('sticky')),
        allowed_regions=frozenset(spec.get('allowedRegions') or ()),
        parts=tuple(
            ServicePart(service=_text(part['service']), weight=float(part['weight']))
            for part in split
        ),
    )


def _service(name: str, spec: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name=name,
        health_path=_text(spec['healthPath']),
        max_connections=_whole(spec['maxConnections']),
        warmup_s=float(spec.get('warmupS', 0)),
        warmup_per_s=float(spec.get('warmupPerS', 0)),
    )


def _limits(spec: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=_whole(spec['maxHeaderBytes']),
        body_bytes=_whole(spec['maxBodyBytes']),
        header_timeout_s=float(spec['headerTimeoutS']),
        idle_timeout_s=float(spec['idleTimeoutS']),
    )


def _object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise TypeError(f'{value!r} is not an object')
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f'{value!r} is not a text')
    return value


def _whole(value: Any) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f'{value!r} is not a whole number')
    return value
