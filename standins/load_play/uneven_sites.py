"""Models of the deployments K and L of docs/hard-load.md."""

from standins.load_play.site import RequestKind, ServiceModel, Site, ZoneModel

_REGIONS = ('north', 'south', 'west')
# The variants with more objects per target than a target caches: parts of the fleet and the load.
_DENSE_FLEET = 1 / 8
_DENSE_LOAD = 1 / 4


def _zones(hosts: int) -> tuple[ZoneModel, ...]:
    zones = len(_REGIONS) * 2
    return tuple(
        ZoneModel(
            region=_REGIONS[number % len(_REGIONS)],
            name=f'{_REGIONS[number % len(_REGIONS)]}-{"ab"[number // len(_REGIONS)]}',
            hosts=max(1, hosts // zones + (number < hosts % zones)),
        )
        for number in range(zones)
    )


def _service(
    zones: tuple[ZoneModel, ...],
    name: str,
    counts: tuple[int, int, int],
    fleet: float,
    *,
    slots: int,
    cache_size: int,
) -> ServiceModel:
    return ServiceModel(
        name=name,
        targets_by_zone={
            zone.name: max(1, round(count * fleet))
            for zone, count in zip(zones, counts * 2, strict=True)
        },
        slots=slots,
        cache_size=cache_size,
    )


def deployment_k(*, load: float = 1, is_dense: bool = False) -> Site:
    """Return the model of deployment K.

    :param load: multiplier of the request rates.
    :param is_dense: whether an eighth of the fleet gets a quarter of the load, so that a target
        gets more objects than it caches.
    """
    fleet = _DENSE_FLEET if is_dense else 1
    rate = load * (_DENSE_LOAD if is_dense else 1)
    zones = _zones(round(61 * fleet))
    return Site(
        name='deployment-k',
        zones=zones,
        services=(
            _service(zones, 'atlas', (30, 36, 7), fleet, slots=6, cache_size=24),
            _service(zones, 'roster', (19, 22, 5), fleet, slots=6, cache_size=18),
            _service(zones, 'ledger', (6, 7, 1), fleet, slots=6, cache_size=34),
        ),
        kinds=(
            RequestKind(
                name='lookup',
                service='atlas',
                rate=567 * rate,
                work_s=0.92,
                aim_s=0.618,
                timeout_s=1.5,
                patience_s=5.15,
                worth=1,
                late_worth=0.2,
                priority=2,
                objects=283,
                is_idempotent=True,
                exchange_bytes=900,
            ),
            RequestKind(
                name='enrolment',
                service='roster',
                rate=271 * rate,
                work_s=1.2,
                aim_s=1.508,
                timeout_s=2.5,
                patience_s=6.03,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=135,
                is_idempotent=False,
                exchange_bytes=2_300,
            ),
            RequestKind(
                name='tally',
                service='ledger',
                rate=160 * rate,
                work_s=0.64,
                aim_s=0.556,
                timeout_s=1.2,
                patience_s=3.05,
                worth=8,
                late_worth=1.6,
                priority=0,
                objects=80,
                is_idempotent=False,
                exchange_bytes=1_500,
            ),
        ),
        zone_delay_s=0.0054,
        region_delay_s=0.012,
    )


def deployment_l(*, load: float = 1, is_dense: bool = False) -> Site:
    """Return the model of deployment L, see :func:`deployment_k`."""
    fleet = _DENSE_FLEET if is_dense else 1
    rate = load * (_DENSE_LOAD if is_dense else 1)
    zones = _zones(round(110 * fleet))
    return Site(
        name='deployment-l',
        zones=zones,
        services=(
            _service(zones, 'quote-desk', (52, 62, 13), fleet, slots=3, cache_size=20),
            _service(zones, 'lease-intake', (9, 11, 2), fleet, slots=3, cache_size=22),
        ),
        kinds=(
            RequestKind(
                name='lookup',
                service='quote-desk',
                rate=583 * rate,
                work_s=0.44,
                aim_s=0.479,
                timeout_s=1.2,
                patience_s=2.99,
                worth=1,
                late_worth=0.2,
                priority=2,
                objects=291,
                is_idempotent=True,
                exchange_bytes=900,
            ),
            RequestKind(
                name='binding',
                service='quote-desk',
                rate=250 * rate,
                work_s=0.54,
                aim_s=0.482,
                timeout_s=1.2,
                patience_s=3.61,
                worth=3,
                late_worth=0.6,
                priority=1,
                objects=125,
                is_idempotent=False,
                exchange_bytes=2_300,
            ),
            RequestKind(
                name='upload',
                service='lease-intake',
                rate=70.8 * rate,
                work_s=0.51,
                aim_s=0.634,
                timeout_s=1.6,
                patience_s=4.76,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=35,
                is_idempotent=False,
                exchange_bytes=60_000,
            ),
            RequestKind(
                name='application',
                service='lease-intake',
                rate=95.7 * rate,
                work_s=0.34,
                aim_s=0.382,
                timeout_s=1,
                patience_s=2.54,
                worth=3,
                late_worth=0.6,
                priority=0,
                objects=47,
                is_idempotent=False,
                exchange_bytes=3_000,
            ),
        ),
        zone_delay_s=0.0054,
        region_delay_s=0.012,
        long_run_fraction=0.03,
        slow_fraction=0.15,
    )
