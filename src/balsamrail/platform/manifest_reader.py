"""Reads the operator's manifest from the object ``config/main``."""

from typing import Any

from balsamrail.catalog import CallerLimits, Manifest, ManifestRoute, ServicePart, ServiceSpec
from balsamrail.errors import EntryError
from balsamrail.platform import fields

_IDEMPOTENT = 'idempotent'


def read_manifest(spec: Any) -> Manifest:
    """Return the manifest that ``spec`` describes.

    Entries of kinds that are not known here are passed over.

    :raises EntryError: if a field is missing or of another type.
    """
    try:
        return _read(spec)
    except fields.FAULTS as error:
        raise EntryError(f'the manifest cannot be read: {error!r}') from error


def _read(spec: dict[str, Any]) -> Manifest:
    routes: list[ManifestRoute] = []
    services: dict[str, ServiceSpec] = {}
    limits = CallerLimits()
    for entry in spec['resources']:
        name = fields.mapping(fields.mapping(entry).get('metadata', {})).get('name', '')
        match entry['entryKind']:
            case 'routes':
                routes.append(_route(name, fields.mapping(entry['spec'])))
            case 'services':
                services[name] = _service(name, fields.mapping(entry['spec']))
            case 'limits':
                limits = _limits(entry['spec'])
    return Manifest(
        version=fields.whole(spec['version']),
        routes=tuple(routes),
        services=services,
        limits=limits,
    )


def _route(name: str, spec: dict[str, Any]) -> ManifestRoute:
    split = spec.get('weightedServices') or [{'service': spec.get('service'), 'weight': 1}]
    return ManifestRoute(
        name=name,
        host=fields.text(spec['host']).lower(),
        path_prefix=fields.text(spec['pathPrefix']),
        is_idempotent=spec['kind'] == _IDEMPOTENT,
        timeout_s=fields.number(spec['timeoutS']),
        aim_s=fields.number(spec.get('aimS') or spec['timeoutS']),
        priority=fields.whole(spec.get('priority', 0)),
        max_attempts=max(1, fields.whole(spec.get('maxAttempts', 1))),
        is_sticky=bool(spec.get('sticky')),
        allowed_regions=frozenset(spec.get('allowedRegions') or ()),
        parts=tuple(
            ServicePart(service=fields.text(part['service']), weight=fields.number(part['weight']))
            for part in split
        ),
    )


def _service(name: str, spec: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name=name,
        health_path=fields.text(spec['healthPath']),
        max_connections=fields.whole(spec['maxConnections']),
        warmup_s=fields.number(spec.get('warmupS', 0)),
        warmup_per_s=fields.number(spec.get('warmupPerS', 0)),
    )


def _limits(spec: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=fields.whole(spec['maxHeaderBytes']),
        body_bytes=fields.whole(spec['maxBodyBytes']),
        header_timeout_s=fields.number(spec['headerTimeoutS']),
        idle_timeout_s=fields.number(spec['idleTimeoutS']),
    )
