"""Assigns the objects of a region to targets."""

import math
from collections.abc import Iterable
from typing import Any

from balsamrail.placement.bucket_load import BucketLoad
from balsamrail.placement.demand_meter import Demand
from balsamrail.placement.ranking import Ranking, hash_text, mixed
from balsamrail.placement.region_plan import plan_regions
from balsamrail.placement.scope import Scope
from balsamrail.placement.service_times import ServiceTimes
from balsamrail.placement.target_room import TargetRoom

_RATE_LIFE_S = 10.0
# A bucket with a lower rate is forgotten.
_LEAST_RATE = 0.003
# The time of an answer while none has been seen.
_DEFAULT_S = 0.2
# A target that breaks off this part of its requests gets none.
_USELESS_FAILURES = 0.6
# The rate of a bucket that has just been seen.
_FIRST_RATE = 0.5
# Consistent hashing with bounded loads: a target takes no more than this much beyond the mean.
_BOUNDED_LOAD = 1.15
# Another region's target has to be emptier by this much to be preferred.
_REMOTE_PENALTY = 0.12
# Objects come back when their own region's targets would be used no more than to this part.
_RETURN_LIMIT = 0.3
# Below this use there is hardly any queue, and moving objects only makes them unknown.
_BUSY = 0.7
_IMBALANCE = 0.3
_RELATIVE_IMBALANCE = 0.35
_LEAST_GAIN = 0.04
_MOST_MOVES = 1
# An object that has just been moved is slow once, so it stays for some time.
_STAY_S = 4.0


class Assigner:
    """Keeps the assignment of buckets to targets and moves few of them at a time.

    A target is several times faster for an object that it handled recently, so an object stays
    where it is until a lasting difference of load is worth one slow run. Targets of the own
    region are preferred, since bytes and delay between regions cost.

    :param region: the region whose callers' objects are assigned.
    :param shift_per_s: the part of the region's requests that may change region in a second.
    """

    __slots__ = (
        '_buckets_by_scope',
        '_now',
        '_region',
        '_rooms_by_id',
        '_seconds_by_service',
        '_shift_per_s',
        '_times',
    )

    def __init__(self, *, region: str, shift_per_s: float) -> None:
        self._region = region
        self._shift_per_s = shift_per_s
        self._buckets_by_scope: dict[str, dict[int, BucketLoad]] = {}
        self._rooms_by_id: dict[str, TargetRoom] = {}
        self._now = 0.0
        self._seconds_by_service: dict[str, float] = {}
        self._times = ServiceTimes()

    def set_targets(self, rooms: Iterable[TargetRoom]) -> None:
        """Take over the targets as they are now; what was learned of known ones is kept."""
        known = self._rooms_by_id
        self._rooms_by_id = {}
        for room in rooms:
            before = known.get(room.target_id)
            if before is not None:
                room.foreign_load = before.foreign_load
                room.slowness = before.slowness
                room.failure_ratio = before.failure_ratio
                room.is_usable &= room.failure_ratio < _USELESS_FAILURES
            self._rooms_by_id[room.target_id] = room
        self._recount()

    def set_foreign_load(self, load_by_target: dict[str, float]) -> None:
        """Take over the load in slots that other regions place on targets."""
        for target_id, room in self._rooms_by_id.items():
            room.foreign_load = load_by_target.get(target_id, 0)
        self._recount()

    def note_demand(self, demand: Demand) -> None:
        """Count what one host reported."""
        for scope, counts in demand.counts_by_scope.items():
            buckets = self._buckets_by_scope.get(scope, {})
            for bucket, count in counts.items():
                if bucket in buckets:
                    buckets[bucket].arrived += count
        for target_id, sample in demand.samples_by_target.items():
            self._times.note(target_id, sample)

    def adopt(self, scope: str, bucket: int, target_id: str) -> None:
        """Take over an assignment that another steward made."""
        known = self._buckets_by_scope.setdefault(scope, {})
        if bucket not in known:
            known[bucket] = BucketLoad(
                scope=scope, bucket=bucket, target_id=target_id, rate=_FIRST_RATE
            )

    def place(self, scope: str, bucket: int) -> str | None:
        """Return the target of a bucket and assign one if it has none.

        Return ``None`` if no target can be used.
        """
        buckets = self._buckets_by_scope.setdefault(scope, {})
        known = buckets.get(bucket)
        if known is not None and self._is_usable(known.target_id):
            return known.target_id
        rate = known.rate if known is not None else self._typical_rate(scope)
        load = BucketLoad(scope=scope, bucket=bucket, target_id='', rate=rate)
        room = self._best_room(load)
        if room is None:
            return None
        if known is not None:
            self._take_off(known)
        buckets[bucket] = load
        self._put_on(load, room)
        return room.target_id

    def tick(self, elapsed_s: float) -> list[BucketLoad]:
        """Follow the load and return the buckets that were moved.

        :param elapsed_s: the time since the last call in seconds.
        """
        self._now += elapsed_s
        self._update_rates(elapsed_s)
        self._times.fade(elapsed_s)
        self._update_rooms()
        self._recount()
        moved = self.move_off_unusable()
        budget = self._shift_per_s * elapsed_s * self._total_rate()
        for service in sorted({room.service for room in self._rooms_by_id.values()}):
            rooms = [r for r in self._rooms_by_id.values() if r.service == service and r.is_usable]
            moves, budget = self._balance(rooms, budget)
            moved.extend(moves)
        return moved

    def load_by_target(self) -> dict[str, float]:
        """Return the load in slots that this region places on each target."""
        return {r.target_id: r.load for r in self._rooms_by_id.values() if r.load}

    def assignments(self) -> dict[str, dict[int, str]]:
        """Return the target of each bucket by scope."""
        return {
            scope: {bucket: load.target_id for bucket, load in buckets.items()}
            for scope, buckets in self._buckets_by_scope.items()
        }

    def dump(self) -> dict[str, Any]:
        """Return the use of each target as plain data."""
        return {
            room.target_id: {
                'buckets': room.buckets,
                'load': round(room.load, 2),
                'foreign_load': round(room.foreign_load, 2),
                'capacity': round(room.capacity(), 2),
                'slowness': round(room.slowness, 2),
                'failure_ratio': round(room.failure_ratio, 2),
            }
            for room in self._rooms_by_id.values()
        }

    def _is_usable(self, target_id: str) -> bool:
        room = self._rooms_by_id.get(target_id)
        return room is not None and room.is_usable

    def _typical_rate(self, scope: str) -> float:
        rates = [load.rate for load in self._buckets_by_scope.get(scope, {}).values()]
        return sum(rates) / len(rates) if rates else _FIRST_RATE

    def _total_rate(self) -> float:
        return sum(load.rate for load in self._all_loads())

    def _all_loads(self) -> Iterable[BucketLoad]:
        for buckets in self._buckets_by_scope.values():
            yield from buckets.values()

    def _update_rates(self, elapsed_s: float) -> None:
        weight = 1 - math.exp(-elapsed_s / _RATE_LIFE_S)
        for buckets in self._buckets_by_scope.values():
            for bucket, load in list(buckets.items()):
                load.rate += (load.arrived / elapsed_s - load.rate) * weight
                load.arrived = 0
                if load.rate < _LEAST_RATE:
                    del buckets[bucket]

    def _update_rooms(self) -> None:
        by_service: dict[str, list[TargetRoom]] = {}
        for room in self._rooms_by_id.values():
            by_service.setdefault(room.service, []).append(room)
        for service, rooms in by_service.items():
            typical_s = self._times.typical_s(room.target_id for room in rooms)
            self._seconds_by_service[service] = typical_s
            for room in rooms:
                mean_s = self._times.mean_s(room.target_id)
                room.slowness = 1 if mean_s is None else max(1.0, mean_s / typical_s)
                room.failure_ratio = self._times.failure_ratio(room.target_id)
                room.is_usable &= room.failure_ratio < _USELESS_FAILURES

    def _cost(self, load: BucketLoad) -> float:
        service = load.scope.partition('|')[0]
        return load.rate * self._seconds_by_service.get(service, _DEFAULT_S)

    def _recount(self) -> None:
        for room in self._rooms_by_id.values():
            room.load = 0
            room.buckets = 0
        for load in self._all_loads():
            placed_on = self._rooms_by_id.get(load.target_id)
            if placed_on is not None:
                placed_on.load += self._cost(load)
                placed_on.buckets += 1

    def _put_on(self, load: BucketLoad, room: TargetRoom) -> None:
        load.target_id = room.target_id
        load.stays_until = self._now + _STAY_S
        room.load += self._cost(load)
        room.buckets += 1

    def _take_off(self, load: BucketLoad) -> None:
        room = self._rooms_by_id.get(load.target_id)
        if room is not None:
            room.load = max(0.0, room.load - self._cost(load))
            room.buckets -= 1

    def _best_room(self, load: BucketLoad) -> TargetRoom | None:
        scope = Scope.from_name(load.scope)
        rooms = [
            room
            for room in self._rooms_by_id.values()
            if room.service == scope.service and room.is_usable and scope.allows(room.region)
        ]
        warm = [room for room in rooms if not room.is_cold] or rooms
        cost = self._cost(load)
        key_hash = hash_text(f'{load.scope}/{load.bucket}')
        near = self._planned(load, warm)
        near.sort(key=lambda room: mixed(key_hash, hash_text(room.target_id)))
        slots = sum(room.capacity() for room in near)
        placed = sum(room.load + room.foreign_load for room in near) + cost
        for room in near:
            bound = _BOUNDED_LOAD * placed / slots + cost / room.capacity()
            if room.utilization(added=cost) <= bound:
                return room
        return min(near, key=lambda room: room.utilization(added=cost), default=None)

    def _planned(self, load: BucketLoad, rooms: list[TargetRoom]) -> list[TargetRoom]:
        """Return the rooms of the region that takes a bucket by plan."""
        regions = {room.region for room in self._rooms_by_id.values()}
        parts = plan_regions(rooms, regions=sorted(regions | {self._region}), own=self._region)
        if not parts:
            return rooms
        chosen = Ranking(weight_by_id=parts).best(f'{load.scope}/{load.bucket}', count=1)
        return [room for room in rooms if room.region in chosen] or rooms

    def move_off_unusable(self) -> list[BucketLoad]:
        """Move what is placed on targets that cannot be used and return it."""
        moved = []
        for load in list(self._all_loads()):
            if not self._is_usable(load.target_id):
                best = self._best_room(load)
                if best is not None:
                    self._put_on(load, best)
                    moved.append(load)
        return moved

    def _balance(self, rooms: list[TargetRoom], budget: float) -> tuple[list[BucketLoad], float]:
        moved: list[BucketLoad] = []
        warm = [room for room in rooms if not room.is_cold]
        for _ in range(_MOST_MOVES):
            found = self._next_move(warm, budget)
            if found is None:
                break
            load, room = found
            if room.region != self._rooms_by_id[load.target_id].region:
                budget -= load.rate
            self._take_off(load)
            self._put_on(load, room)
            moved.append(load)
        return moved, budget

    def _next_move(
        self, rooms: list[TargetRoom], budget: float
    ) -> tuple[BucketLoad, TargetRoom] | None:
        local = [room for room in rooms if room.region == self._region]
        empty = next((room for room in local if not room.buckets and not room.foreign_load), None)
        busiest = max(
            (room for room in rooms if room.buckets), key=TargetRoom.utilization, default=None
        )
        if busiest is None:
            return None
        if empty is not None and busiest.buckets > 1:
            lightest = self._lightest(busiest)
            return None if lightest is None else (lightest, empty)
        use = busiest.utilization()
        if use > _BUSY:
            target = min(rooms, key=self._preference)
            if use - self._preference(target) > max(_IMBALANCE, _RELATIVE_IMBALANCE * use):
                found = self._levelling(busiest, target, budget)
                if found is not None:
                    return found, target
        return self._returning(rooms, local, budget)

    def _preference(self, room: TargetRoom) -> float:
        use = room.utilization()
        return use if room.region == self._region else use + _REMOTE_PENALTY

    def _loads_on(self, room: TargetRoom) -> list[BucketLoad]:
        return [
            load
            for load in self._all_loads()
            if load.target_id == room.target_id and load.stays_until <= self._now
        ]

    def _lightest(self, room: TargetRoom) -> BucketLoad | None:
        return min(self._loads_on(room), key=lambda load: load.rate, default=None)

    def _levelling(
        self, busiest: TargetRoom, target: TargetRoom, budget: float
    ) -> BucketLoad | None:
        best: BucketLoad | None = None
        best_use = busiest.utilization() - _LEAST_GAIN
        for load in self._loads_on(busiest):
            if busiest.region != target.region and load.rate > budget:
                continue
            if not Scope.from_name(load.scope).allows(target.region):
                continue
            cost = self._cost(load)
            use = max(busiest.utilization(added=-cost), target.utilization(added=cost))
            if use < best_use:
                best, best_use = load, use
        return best

    def _returning(
        self, rooms: list[TargetRoom], local: list[TargetRoom], budget: float
    ) -> tuple[BucketLoad, TargetRoom] | None:
        room = min(local, key=TargetRoom.utilization, default=None)
        if room is None:
            return None
        for other in rooms:
            if other.region == self._region or not other.buckets:
                continue
            for load in self._loads_on(other):
                fits = room.utilization(added=self._cost(load)) <= _RETURN_LIMIT
                is_allowed = Scope.from_name(load.scope).allows(room.region)
                if fits and is_allowed and load.rate <= budget:
                    return load, room
        return None
