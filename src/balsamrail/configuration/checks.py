"""Validation of a declaration beyond what its types express."""

from collections.abc import Collection, Iterator
from itertools import combinations

from balsamrail.configuration.cap import Cap
from balsamrail.configuration.declaration import Declaration
from balsamrail.configuration.service import Service
from balsamrail.documents import decode_document, format_path
from balsamrail.errors import DocumentError

_MAX_FULL_SHIFT_S = 86_400


def load_declaration(text: str | bytes) -> Declaration:
    """Parse and validate a declaration.

    :raises DocumentError: with one line for each fault, such as
        ``$.services.diary.depends_on: dependency cycle diary -> bookings -> diary``.
    """
    declaration = decode_document(text=text, kind=Declaration)
    faults = list(_find_faults(declaration))
    if faults:
        raise DocumentError(faults=faults)
    return declaration


def _find_faults(declaration: Declaration) -> Iterator[str]:
    yield from _zone_faults(declaration)
    yield from _link_faults(declaration)
    for name, service in declaration.services.items():
        yield from _target_faults(declaration, name, service)
        yield from _weight_faults(declaration, name, service)
        yield from _dependency_faults(declaration, name, service)
        yield from _cap_faults(name, service)
        yield from _route_faults(name, service)


def _zone_faults(declaration: Declaration) -> Iterator[str]:
    region_by_zone: dict[str, str] = {}
    for name, region in declaration.regions.items():
        for zone in region.availability_zones:
            other = region_by_zone.setdefault(zone, name)
            if other != name:
                path = format_path('regions', name, 'availability_zones')
                yield f'{path}: {zone} is also in region {other}'


def _link_faults(declaration: Declaration) -> Iterator[str]:
    for index, link in enumerate(declaration.links):
        for name in link.between:
            if name not in declaration.regions:
                allowed = ', '.join(declaration.regions)
                yield f'{format_path("links", index)}: unknown region {name}, allowed: {allowed}'


def _target_faults(declaration: Declaration, name: str, service: Service) -> Iterator[str]:
    zones = [zone for region in declaration.regions.values() for zone in region.availability_zones]
    seen: set[str] = set()
    for index, target in enumerate(service.targets):
        path = format_path('services', name, 'targets', index)
        if target.availability_zone not in zones:
            allowed = ', '.join(zones)
            yield (
                f'{path}.availability_zone: unknown availability zone '
                f'{target.availability_zone}, allowed: {allowed}'
            )
        if target.address in seen:
            yield f'{path}.address: {target.address} is listed twice'
        seen.add(target.address)


def _weight_faults(declaration: Declaration, name: str, service: Service) -> Iterator[str]:
    path = format_path('services', name, 'weights')
    for region, weight in service.weights.items():
        fault = _quantity_fault(region, weight, kind='region', known=declaration.regions)
        if fault:
            yield f'{path}.{region}: {fault}'
        elif weight and not declaration.targets_in(service=name, region=region):
            yield f'{path}.{region}: the service has no target in this region'
    if service.weights and not any(service.weights.values()):
        yield f'{path}: at least one weight must be above 0'


def _dependency_faults(declaration: Declaration, name: str, service: Service) -> Iterator[str]:
    path = format_path('services', name, 'depends_on')
    for other, calls in service.depends_on.items():
        fault = _quantity_fault(other, calls, kind='service', known=declaration.services)
        if fault:
            yield f'{path}.{other}: {fault}'
    cycle = _find_cycle(declaration, name)
    if cycle and min(cycle) == name:
        yield f'{path}: dependency cycle {" -> ".join([*cycle, name])}'


def _quantity_fault(name: str, quantity: float, *, kind: str, known: Collection[str]) -> str:
    """Return the validation error for the quantity of ``name``, or an empty string."""
    if name not in known:
        return f'unknown {kind}, allowed: {", ".join(known)}'
    return 'less than 0 (minimum)' if quantity < 0 else ''


def _find_cycle(declaration: Declaration, start: str) -> list[str]:
    paths = [[start]]
    seen: set[str] = set()
    while paths:
        path = paths.pop()
        service = declaration.services.get(path[-1])
        for other in service.depends_on if service else ():
            if other == start:
                return path
            if other not in seen:
                seen.add(other)
                paths.append([*path, other])
    return []


def _cap_faults(name: str, service: Service) -> Iterator[str]:
    caps: dict[str, Cap] = {
        'shift_cap': service.shift_cap,
        'failover_cap': service.failover_cap,
    }
    for field_name, cap in caps.items():
        full_shift_s = cap.per_s / cap.fraction
        if full_shift_s > _MAX_FULL_SHIFT_S:
            path = format_path('services', name, field_name)
            yield (
                f'{path}: a full move takes {full_shift_s:.0f} s, allowed: '
                f'at most {_MAX_FULL_SHIFT_S}'
            )


def _route_faults(name: str, service: Service) -> Iterator[str]:
    for (left_index, left), (right_index, right) in combinations(enumerate(service.routes), 2):
        shared = sorted(set(left.methods) & set(right.methods))
        if shared and left.path == right.path:
            path = format_path('services', name, 'routes', right_index)
            methods = ', '.join(shared)
            yield f'{path}: {methods} {right.path} is also in routes[{left_index}]'
