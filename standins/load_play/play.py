"""Simulates the load of a deployment on the product's placement code."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

from balsamrail.catalog.target_entry import TargetEntry
from balsamrail.environment import Environment
from balsamrail.logs import Log
from balsamrail.placement.send_limits import SendLimits
from balsamrail.placement.target_registry import TargetRegistry
from balsamrail.placement.target_selector import TargetSelector
from balsamrail.settings import Settings, StoreSettings
from balsamrail.settings.address import Address
from balsamrail.settings.bounds import Bounds
from standins.load_play.callers import Callers
from standins.load_play.event_queue import EventQueue
from standins.load_play.host import SimulatedHost
from standins.load_play.load_statistics import LoadStatistics
from standins.load_play.site import Change, Site
from standins.load_play.target import SimulatedTarget

_NO_ADDRESS = Address('127.0.0.1:1')
_COLD_S = 3.0


class _NoLog:
    def write(self, text: str, /) -> None:
        """Discard a log line."""


def play(
    site: Site,
    *,
    seed: int,
    length_s: float,
    make_target_selector: Callable[[TargetRegistry, SendLimits], TargetSelector] | None = None,
    keeps_near: bool = True,
) -> LoadStatistics:
    """Return the statistics of ``length_s`` seconds of simulated load.

    :param make_target_selector: creates the placement strategy to simulate; the default is the product's.
    :param keeps_near: whether objects with large exchanges are placed in each zone.
    """
    make = make_target_selector or _default_target_selector
    return asyncio.run(_simulate(site, seed, length_s, make, keeps_near=keeps_near))


async def _simulate(
    site: Site,
    seed: int,
    length_s: float,
    make_target_selector: Callable[[TargetRegistry, SendLimits], TargetSelector],
    *,
    keeps_near: bool,
) -> LoadStatistics:
    random_source = random.Random(seed)
    event_queue, statistics = EventQueue(), LoadStatistics()
    targets = _make_targets(site, event_queue, random_source)
    region_by_host = {
        f'{zone.name}-{number}': zone.region for zone in site.zones for number in range(zone.hosts)
    }
    hosts_by_zone: dict[str, list[SimulatedHost]] = {zone.name: [] for zone in site.zones}
    entries = _entries(site, random_source)
    for zone in site.zones:
        for number in range(zone.hosts):
            host = SimulatedHost(
                environment=_environment(site, zone.name, f'{zone.name}-{number}'),
                site=site,
                event_queue=event_queue,
                targets_by_id=targets,
                statistics=statistics,
                region_by_host=region_by_host,
                make_target_selector=make_target_selector,
                keeps_near=keeps_near,
            )
            _update_targets(host, entries, 0)
            hosts_by_zone[zone.name].append(host)
    all_hosts = [host for hosts in hosts_by_zone.values() for host in hosts]
    for change in site.changes:
        chosen = [entry for entry in entries if entry.service == change.service]
        chosen = random_source.sample(chosen, max(1, round(len(chosen) * change.share)))
        begin = partial(_begin_fault, change, chosen, targets)
        end = partial(_end_fault, change, chosen, targets, all_hosts, event_queue)
        event_queue.after(change.at_s, begin)
        event_queue.after(change.at_s + change.for_s, end)
    for evacuation in site.evacuations:
        zones = frozenset((evacuation.zone,))
        event_queue.after(evacuation.at_s, partial(_evacuate, zones, all_hosts, event_queue))
        end_s = evacuation.at_s + evacuation.for_s
        event_queue.after(end_s, partial(_evacuate, frozenset(), all_hosts, event_queue))
    Callers(
        site=site,
        event_queue=event_queue,
        statistics=statistics,
        random_source=random.Random(seed + 1),
        hosts_by_zone=hosts_by_zone,
        length_s=length_s,
    ).begin()
    event_queue.run()
    for target in targets.values():
        statistics.sends.update(target.runs)
    return statistics


def _default_target_selector(
    target_registry: TargetRegistry, send_limits: SendLimits
) -> TargetSelector:
    return TargetSelector(target_registry=target_registry, send_limits=send_limits)


def _make_targets(
    site: Site, event_queue: EventQueue, random_source: random.Random
) -> dict[str, SimulatedTarget]:
    return {
        f'{service.name}-{zone}-{number}': SimulatedTarget(
            target_id=f'{service.name}-{zone}-{number}',
            size=service,
            site=site,
            event_queue=event_queue,
            random_source=random_source,
        )
        for service in site.services
        for zone, count in service.targets_by_zone.items()
        for number in range(count)
    }


def _entries(site: Site, random_source: random.Random) -> list[TargetEntry]:
    regions = site.region_by_zone()
    return [
        TargetEntry(
            target_id=f'{service.name}-{zone}-{number}',
            service=service.name,
            address=_NO_ADDRESS,
            availability_zone=zone,
            region=regions[zone],
            version='1',
            slots=service.slots,
            is_draining=False,
            cold_left_s=0,
            born_ms=1,
        )
        for service in site.services
        for zone, count in service.targets_by_zone.items()
        for number in range(count)
    ]


def _environment(site: Site, zone: str, host: str) -> Environment:
    regions = site.region_by_zone()
    settings = Settings(
        deployment=site.name,
        host=host,
        region=regions[zone],
        availability_zone=zone,
        region_by_availability_zone=regions,
        caller_address=_NO_ADDRESS,
        peer_address=_NO_ADDRESS,
        operator_address=_NO_ADDRESS,
        store=StoreSettings(address=_NO_ADDRESS),
        bounds=Bounds(retry_slack=58, cold_overage=1.5, cold_slack=5),
    )
    return Environment.create(settings=settings, log=Log(host=host, output=_NoLog()))


def _update_targets(host: SimulatedHost, entries: list[TargetEntry], now: float) -> None:
    for entry in entries:
        host.catalog.put_target(entry)
    host.target_registry.refresh(now=now)


def _evacuate(zones: frozenset[str], hosts: list[SimulatedHost], event_queue: EventQueue) -> None:
    for host in hosts:
        host.catalog.set_evacuated(zones)
        host.target_registry.refresh(now=event_queue.now)


def _begin_fault(
    change: Change, chosen: list[TargetEntry], targets: dict[str, SimulatedTarget]
) -> None:
    for entry in chosen:
        target = targets[entry.target_id]
        if change.factor:
            target.factor = change.factor
        else:
            target.crash()
        target.refusing = change.refusing
        target.losing = change.losing


def _end_fault(
    change: Change,
    chosen: list[TargetEntry],
    targets: dict[str, SimulatedTarget],
    hosts: list[SimulatedHost],
    event_queue: EventQueue,
) -> None:
    for entry in chosen:
        target = targets[entry.target_id]
        target.factor, target.refusing, target.losing = 1.0, 0.0, 0.0
        target.is_up = True
    if not change.factor:
        started = [replace(entry, born_ms=2, cold_left_s=_COLD_S) for entry in chosen]
        for host in hosts:
            _update_targets(host, started, event_queue.now)
