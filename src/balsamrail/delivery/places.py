"""Chooses targets by what the fleet and this host know of them."""

from balsamrail.catalog.manifest_route import ManifestRoute
from balsamrail.delivery.place import Place
from balsamrail.environment import Environment
from balsamrail.fleet.placement_service import PlacementService
from balsamrail.placement.chooser import Chooser, Refused
from balsamrail.placement.target_book import TargetBook
from balsamrail.placement.target_state import TargetState


class PlacedTargets:
    """Brings the region's placement and this host's choice together.

    Implements :class:`balsamrail.delivery.request_run.Places`.
    """

    __slots__ = ('_book', '_chooser', '_environment', '_placement')

    def __init__(
        self,
        *,
        environment: Environment,
        placement: PlacementService,
        chooser: Chooser,
        book: TargetBook,
    ) -> None:
        self._environment = environment
        self._placement = placement
        self._chooser = chooser
        self._book = book

    async def choose(
        self, route: ManifestRoute, place: Place, *, tried: list[str]
    ) -> TargetState | Refused:
        """Return the target of a request."""
        assigned = None
        if place.bucket is not None:
            if not tried:
                self._placement.meter.note_request(place.scope, place.bucket)
            assigned = await self._placement.locate(
                place.scope,
                place.bucket,
                is_usable=lambda target_id: self._book.is_usable(target_id, route),
            )
        return self._chooser.choose(
            route,
            service=place.service,
            object_key=place.object_key,
            assigned=assigned,
            tried=tried,
            now=self._now(),
        )

    def note_answer(self, place: Place, target_id: str, *, worked_s: float) -> None:
        """Learn that a target answered."""
        if place.bucket is not None:
            self._placement.meter.note_answer(
                place.scope, place.bucket, target_id, worked_s=worked_s, now=self._now()
            )

    def note_failure(self, target_id: str) -> None:
        """Learn that a target broke off."""
        self._placement.meter.note_failure(target_id)

    def _now(self) -> float:
        return self._environment.clock.monotonic()
