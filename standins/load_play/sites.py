"""Models of the users' deployments."""

from standins.load_play.site import RequestKind, ServiceModel, Site, ZoneModel

_HOSTS = (2, 2, 2, 1, 1, 1)


def _zones(names: str, hosts: tuple[int, ...] = _HOSTS) -> tuple[ZoneModel, ...]:
    pairs = (name.split('/') for name in names.split())
    return tuple(
        ZoneModel(region=region, name=name, hosts=count)
        for (region, name), count in zip(pairs, hosts, strict=True)
    )


def _targets(zones: tuple[ZoneModel, ...], *counts: int) -> dict[str, int]:
    return {zone.name: count for zone, count in zip(zones, counts, strict=True)}


def selokosmos(*, load: float = 1, fleet: int = 1) -> Site:
    """Return the model of Selokosmos.

    :param load: multiplier of the request rates.
    :param fleet: multiplier of the numbers of hosts, targets and objects and of the rates.
    """
    zones = _zones(
        'attiki/athina-a makedonia/thess-a peloponnisos/patra-a'
        ' attiki/athina-b makedonia/thess-b peloponnisos/patra-b',
        tuple(count * fleet for count in _HOSTS),
    )
    diary = _targets(zones, *(count * fleet for count in (3, 4, 1, 3, 4, 1)))
    others = _targets(zones, *(count * fleet for count in (2, 3, 1, 2, 3, 1)))
    rate = load * fleet
    return Site(
        name='selokosmos',
        zones=zones,
        services=(
            ServiceModel(name='diary', targets_by_zone=diary, slots=6, cache_size=34),
            ServiceModel(name='bookings', targets_by_zone=others, slots=3, cache_size=25),
            ServiceModel(name='shopfront', targets_by_zone=others, slots=3, cache_size=50),
        ),
        kinds=(
            RequestKind(
                name='diary-look',
                service='diary',
                rate=176 * rate,
                work_s=0.64,
                aim_s=0.4,
                timeout_s=1,
                patience_s=3,
                worth=1,
                late_worth=0.2,
                priority=2,
                objects=44 * fleet,
                is_idempotent=True,
                exchange_bytes=900,
            ),
            RequestKind(
                name='visit-book',
                service='bookings',
                rate=61.8 * rate,
                work_s=0.84,
                aim_s=0.6,
                timeout_s=1.2,
                patience_s=4,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=24 * fleet,
                is_idempotent=False,
                exchange_bytes=2_300,
            ),
            RequestKind(
                name='deposit-take',
                service='shopfront',
                rate=43.3 * rate,
                work_s=0.44,
                aim_s=0.3,
                timeout_s=0.8,
                patience_s=2,
                worth=3,
                late_worth=0.6,
                priority=0,
                objects=24 * fleet,
                is_idempotent=False,
                exchange_bytes=5_800,
            ),
            RequestKind(
                name='stock-look',
                service='shopfront',
                rate=46.4 * rate,
                work_s=0.256,
                aim_s=0.25,
                timeout_s=0.8,
                patience_s=1.2,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=24 * fleet,
                is_idempotent=True,
                exchange_bytes=2_000,
            ),
        ),
        zone_delay_s=0.005,
        region_delay_s=0.012,
    )


def suryatap(*, load: float = 1, fleet: int = 1) -> Site:
    """Return the model of Suryatap; see :func:`selokosmos`."""
    zones = _zones(
        'saurashtra/rajkot-a kutch/bhuj-a north-guj/mehsana-a'
        ' saurashtra/junagadh-b kutch/anjar-b north-guj/palanpur-b',
        tuple(count * fleet for count in (2, 2, 1, 1, 1, 1)),
    )
    ovens = _targets(zones, *(count * fleet for count in (3, 1, 3, 3, 1, 3)))
    others = _targets(zones, *(count * fleet for count in (3, 1, 2, 3, 1, 2)))
    rate = load * fleet
    return Site(
        name='suryatap',
        zones=zones,
        services=(
            ServiceModel(name='ovenwatch', targets_by_zone=ovens, slots=3, cache_size=21),
            ServiceModel(name='panelbook', targets_by_zone=others, slots=3, cache_size=25),
            ServiceModel(name='flourdesk', targets_by_zone=others, slots=3, cache_size=50),
        ),
        kinds=(
            RequestKind(
                name='status-read',
                service='ovenwatch',
                rate=59.2 * rate,
                work_s=0.88,
                aim_s=0.6,
                timeout_s=1.5,
                patience_s=4,
                worth=1,
                late_worth=0.2,
                priority=2,
                objects=24 * fleet,
                is_idempotent=True,
                exchange_bytes=900,
            ),
            RequestKind(
                name='panel-swap',
                service='panelbook',
                rate=19.3 * rate,
                work_s=1.16,
                aim_s=0.8,
                timeout_s=2,
                patience_s=6,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=24 * fleet,
                is_idempotent=False,
                exchange_bytes=6_700,
            ),
            RequestKind(
                name='flour-order',
                service='flourdesk',
                rate=17.1 * rate,
                work_s=0.6,
                aim_s=0.5,
                timeout_s=1.2,
                patience_s=3,
                worth=3,
                late_worth=0.6,
                priority=0,
                objects=24 * fleet,
                is_idempotent=False,
                exchange_bytes=3_200,
            ),
            RequestKind(
                name='batch-read',
                service='flourdesk',
                rate=14.8 * rate,
                work_s=0.352,
                aim_s=0.3,
                timeout_s=0.8,
                patience_s=2,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=24 * fleet,
                is_idempotent=True,
                exchange_bytes=5_500,
            ),
        ),
        zone_delay_s=0.0035,
        region_delay_s=0.035,
    )


def selokosmos_large(*, load: float = 1, divisor: int = 6) -> Site:
    """Return the model of the large fleet of Selokosmos, scaled down.

    One region has a tenth of the targets, and its callers send as much as those of the others.

    :param load: multiplier of the request rates.
    :param divisor: by how much the fleet, its objects and its rates are smaller than the original.
    """
    zones = _zones(
        'attiki/athina-a makedonia/thess-a peloponnisos/patra-a'
        ' attiki/athina-b makedonia/thess-b peloponnisos/patra-b'
        ' attiki/athina-c makedonia/thess-c peloponnisos/patra-c',
        tuple(round(count / divisor) for count in (24, 21, 24, 20, 22, 21, 22, 19, 22)),
    )
    counts_by_service = {'diary': (85, 102, 21), 'bookings': (39, 46, 9), 'shopfront': (24, 28, 6)}
    cache_size_by_service = {'diary': 8, 'bookings': 8, 'shopfront': 16}
    rate = load / divisor
    return Site(
        name='selokosmos',
        zones=zones,
        services=tuple(
            ServiceModel(
                name=service,
                targets_by_zone=_targets(zones, *(round(count / divisor) for count in counts * 3)),
                slots=6,
                cache_size=cache_size_by_service[service],
            )
            for service, counts in counts_by_service.items()
        ),
        kinds=(
            RequestKind(
                name='diary-look',
                service='diary',
                rate=295 * rate,
                work_s=2.64,
                aim_s=1.504,
                timeout_s=4,
                patience_s=12,
                worth=1,
                late_worth=0.2,
                priority=2,
                objects=round(98 / divisor),
                is_idempotent=True,
                exchange_bytes=900,
            ),
            RequestKind(
                name='visit-book',
                service='bookings',
                rate=103 * rate,
                work_s=3.44,
                aim_s=2.005,
                timeout_s=5,
                patience_s=15,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=round(34 / divisor),
                is_idempotent=False,
                exchange_bytes=2_300,
            ),
            RequestKind(
                name='deposit-take',
                service='shopfront',
                rate=72 * rate,
                work_s=1.84,
                aim_s=1.21,
                timeout_s=2.5,
                patience_s=10,
                worth=3,
                late_worth=0.6,
                priority=0,
                objects=round(24 / divisor),
                is_idempotent=False,
                exchange_bytes=5_800,
            ),
            RequestKind(
                name='stock-look',
                service='shopfront',
                rate=77 * rate,
                work_s=1.04,
                aim_s=0.605,
                timeout_s=1.5,
                patience_s=5,
                worth=2,
                late_worth=0.4,
                priority=1,
                objects=round(26 / divisor),
                is_idempotent=True,
                exchange_bytes=2_000,
            ),
        ),
        zone_delay_s=0.0054,
        region_delay_s=0.012,
    )
