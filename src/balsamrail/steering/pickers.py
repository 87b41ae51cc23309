"""The target pickers of all services and regions on one host."""

from random import Random
from typing import Any

from balsamrail.configuration import Target
from balsamrail.environment import Environment
from balsamrail.steering.collaborators import MemberView
from balsamrail.steering.plan import Plan
from balsamrail.steering.resources import slots_resource, target_resource
from balsamrail.steering.share_epoch import ShareEpoch
from balsamrail.steering.slot_deal import deal_slots
from balsamrail.steering.target_picker import TargetPicker
from balsamrail.steering.target_state import TargetState
from balsamrail.steering.target_subset import subset_of

Place = tuple[str, str]


class Pickers:
    """One :class:`TargetPicker` for each service and region, with the host's subsets."""

    __slots__ = (
        '_accepted',
        '_environment',
        '_hosts',
        '_members',
        '_picker_by_place',
        '_random',
        '_subset_by_place',
    )

    def __init__(self, *, environment: Environment, members: MemberView, random: Random) -> None:
        self._environment = environment
        self._members = members
        self._random = random
        self._accepted: Plan | None = None
        self._hosts: list[str] = []
        self._picker_by_place: dict[Place, TargetPicker] = {}
        self._subset_by_place: dict[tuple[Plan, Place], list[str]] = {}

    def update(self, plan: Plan) -> None:
        """Take over the accepted declaration."""
        self._accepted = plan
        now = self._environment.clock.monotonic()
        places = {
            (service, region)
            for service in plan.declaration.services
            for region in plan.regions(service=service)
        }
        for place in self._picker_by_place.keys() - places:
            self._picker_by_place.pop(place)
        for service, region in places:
            self.get(service=service, region=region).update(
                plan.targets(service=service, region=region),
                now=now,
                slow_start_s=plan.declaration.services[service].slow_start_s,
            )
        self._subset_by_place.clear()

    def deal(self, region: str, epoch: ShareEpoch) -> dict[str, int]:
        """Return the target slots of a region that a share epoch deals to this host."""
        plan = self._accepted
        dealt: dict[str, int] = {}
        for service in plan.declaration.services if plan else ():
            resource = slots_resource(service=service, region=region)
            slots_by_address = deal_slots(
                plan.targets(service=service, region=region) if plan else [],
                share_by_holder={
                    holder: base[resource]
                    for holder, base in epoch.base.items()
                    if resource in base
                },
                holder=self._environment.holder,
            )
            for address, count in slots_by_address.items():
                dealt[target_resource(service=service, address=address)] = count
        return dealt

    def refresh_members(self) -> None:
        """Work the subsets out again if other hosts are alive than before."""
        hosts = sorted(member.host for member in self._members.alive())
        if hosts != self._hosts:
            self._hosts = hosts
            self._subset_by_place.clear()

    def get(self, *, service: str, region: str) -> TargetPicker:
        """Return the picker of a service in a region."""
        place = (service, region)
        picker = self._picker_by_place.get(place)
        if picker is None:
            picker = TargetPicker(random=self._random, slow_start_s=0)
            self._picker_by_place[place] = picker
        return picker

    def candidates(self, *, plan: Plan, service: str, region: str) -> list[str]:
        """Return the addresses of the host's subset, less what the platform lists as leaving."""
        key = (plan, (service, region))
        addresses = self._subset_by_place.get(key)
        if addresses is None:
            targets = plan.targets(service=service, region=region)
            self._add_missing(targets, picker=self.get(service=service, region=region))
            chosen = subset_of(targets, host=self._environment.settings.host, hosts=self._hosts)
            addresses = [target.address for target in chosen]
            self._subset_by_place[key] = addresses
        listed_leaving = self._members.listed_leaving
        return [address for address in addresses if not listed_leaving(address)]

    def states(self, region: str | None = None) -> list[tuple[str, TargetState]]:
        """Return service and state of each target, of one region if it is given."""
        return [
            (service, state)
            for (service, place), picker in sorted(self._picker_by_place.items())
            if region is None or place == region
            for _, state in sorted(picker.state_by_address.items())
        ]

    def dump(self) -> dict[str, Any]:
        """Return the state of each target as plain data."""
        return {
            f'{service} {state.address}': {
                'in_flight': state.in_flight,
                'ready': state.ready,
                'leaving': state.leaving,
            }
            for service, state in self.states()
        }

    def _add_missing(self, targets: list[Target], *, picker: TargetPicker) -> None:
        for target in targets:
            picker.add(target, now=self._environment.clock.monotonic())
