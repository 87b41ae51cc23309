"""Parses the operator's manifest from the object ``config/main``."""

from typing import Any

from balsamrail.catalog import CallerLimits, Manifest, ManifestRoute, ServiceSpec, WeightedService
from balsamrail.errors import EntryError
from balsamrail.platform import fields
from balsamrail.platform.customer_reader import CUSTOMERS, CustomerReader

_IDEMPOTENT = 'idempotent'


def read_manifest(spec: Any) -> Manifest:
    """Return the manifest that ``spec`` describes.

    Entries of unknown kinds are ignored, and unreadable entries of customers are left out.

    :raises EntryError: if another field is missing or malformed. Its text contains no values, since
        they may be API keys.
    """
    reader = _ManifestReader()
    try:
        return reader.read(spec)
    except fields.FIELD_ERRORS as error:
        place = '' if reader.index is None else f'resource {reader.index}: '
        # Without the cause, whose text has the value.
        raise EntryError(f'malformed manifest: {place}{_fault_of(error)}') from None


class _ManifestReader:
    """Reads one manifest.

    :param index: the index of the entry that is being read, ``None`` before the first one.
    """

    def __init__(self) -> None:
        self.index: int | None = None
        self._routes: list[ManifestRoute] = []
        self._services: dict[str, ServiceSpec] = {}
        self._limits = CallerLimits()
        self._customers = CustomerReader()

    def read(self, spec: dict[str, Any]) -> Manifest:
        version = fields.integer(spec['version'])
        for index, entry in enumerate(spec['resources']):
            self.index = index
            self._read_entry(fields.mapping(entry))
        return Manifest(
            version=version,
            routes=tuple(self._routes),
            services=self._services,
            limits=self._limits,
            customers=tuple(self._customers.customers),
            rejected_customers=tuple(self._customers.rejected),
        )

    def _read_entry(self, entry: dict[str, Any]) -> None:
        kind = entry['entryKind']
        if kind == CUSTOMERS:
            self._customers.read(entry)
            return
        name = fields.mapping(entry.get('metadata', {})).get('name', '')
        match kind:
            case 'routes':
                self._routes.append(_parse_route(name, fields.mapping(entry['spec'])))
            case 'services':
                self._services[name] = _parse_service(name, fields.mapping(entry['spec']))
            case 'limits':
                self._limits = _parse_limits(entry['spec'])


def _fault_of(error: Exception) -> str:
    """Return the kind of an error; the key of a :class:`KeyError` is the name of a field."""
    return f'missing {error}' if isinstance(error, KeyError) else type(error).__name__


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
        is_anonymous=spec.get('anonymous') is True,
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
