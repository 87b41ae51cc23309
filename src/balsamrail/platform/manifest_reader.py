"""Parses the operator's manifest from the object ``config/main``."""

from typing import Any

from balsamrail.catalog import CallerLimits, Manifest, ManifestRoute, ServiceSpec, WeightedService
from balsamrail.errors import EntryError
from balsamrail.platform import fields

_IDEMPOTENT = 'idempotent'


def read_manifest(spec: Any) -> Manifest:
    """Return the manifest that ``spec`` describes.

    Entries of unknown kinds are ignored.

    :raises EntryError: if a field is missing or malformed.
    """
    try:
        return _parse_manifest(spec)
    except fields.FIELD_ERRORS as error:
        raise EntryError(f'malformed manifest: {error!r}') from error


def _parse_manifest(spec: dict[str, Any]) -> Manifest:
    routes: list[ManifestRoute] = []
    services: dict[str, ServiceSpec] = {}
    limits = CallerLimits()
    for entry in spec['resources']:
        name = fields.mapping(fields.mapping(entry).get('metadata', {})).get('name', '')
        match entry['entryKind']:
            case 'routes':
                routes.append(_parse_route(name, fields.mapping(entry['spec'])))
            case 'services':
                services[name] = _parse_service(name, fields.mapping(entry['spec']))
            case 'limits':
                limits = _parse_limits(entry['spec'])
    return Manifest(
        version=fields.integer(spec['version']),
        routes=tuple(routes),
        services=services,
        limits=limits,
    )


def _parse_route(name: str, spec: dict[str, Any]) -> ManifestRoute:
    weighted_services = spec.get('weightedServices') or [
        {'service': spec.get('service'), 'weight': 1}
    ]
    return ManifestRoute(
        name=name,
        host=fields.string(spec['host']).lower(),
        path_prefix=fields.string(spec['pathPrefix']),
        is_idempotent=spec['kind'] == _IDEMPOTENT,
        timeout_s=fields.number(spec['timeoutS']),
        aim_s=fields.number(spec.get('aimS') or spec['timeoutS']),
        priority=fields.integer(spec.get('priority', 0)),
        max_attempts=max(1, fields.integer(spec.get('maxAttempts', 1))),
        is_sticky=bool(spec.get('sticky')),
        allowed_regions=frozenset(spec.get('allowedRegions') or ()),
        parts=tuple(
            WeightedService(
                service=fields.string(part['service']), weight=fields.number(part['weight'])
            )
            for part in weighted_services
        ),
    )


def _parse_service(name: str, spec: dict[str, Any]) -> ServiceSpec:
    return ServiceSpec(
        name=name,
        health_path=fields.string(spec['healthPath']),
        max_connections=fields.integer(spec['maxConnections']),
        warmup_s=fields.number(spec.get('warmupS', 0)),
        warmup_per_s=fields.number(spec.get('warmupPerS', 0)),
    )


def _parse_limits(spec: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_bytes=fields.integer(spec['maxHeaderBytes']),
        body_bytes=fields.integer(spec['maxBodyBytes']),
        header_timeout_s=fields.number(spec['headerTimeoutS']),
        idle_timeout_s=fields.number(spec['idleTimeoutS']),
    )
