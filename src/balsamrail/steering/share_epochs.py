"""Tracking of the share epochs of all regions by one host."""

import asyncio
from collections.abc import Callable
from typing import Any

from balsamrail.errors import NotReadyError
from balsamrail.messages import Heartbeat, ShareEpochAnnounce, ShareSealed
from balsamrail.steering.context import SteeringContext
from balsamrail.steering.region_epochs import RegionEpochs
from balsamrail.steering.share_epoch import ShareEpoch
from balsamrail.steering.share_fence import ShareFence
from balsamrail.steering.share_ledger import ShareLedger

_POLL_INTERVAL_S = 0.5


class ShareEpochs:
    """Tracks each declared region in its own task.

    :param ledger_by_region: the ledgers of this host; one is added for each new region.
    :param assigned_slots: returns the target slots that an epoch of a region assigns to this host.
    """

    __slots__ = (
        '_assigned_slots',
        '_context',
        '_epochs_by_region',
        '_ledger_by_region',
        'fence',
    )

    def __init__(
        self,
        *,
        context: SteeringContext,
        ledger_by_region: dict[str, ShareLedger],
        assigned_slots: Callable[[str, ShareEpoch], dict[str, int]],
    ) -> None:
        self._context = context
        self._ledger_by_region = ledger_by_region
        self._assigned_slots = assigned_slots
        self._epochs_by_region: dict[str, RegionEpochs] = {}
        self.fence = ShareFence(
            environment=context.environment,
            members=context.members,
            network=context.network,
            ledger_by_region=ledger_by_region,
            random=context.random,
            known_epochs=self._known_epochs,
        )
        context.network.subscribe(ShareEpochAnnounce, self._on_announce)
        context.network.subscribe(ShareSealed, self._on_sealed)
        context.network.subscribe(Heartbeat, self._on_heartbeat)

    async def run(self) -> None:
        """Track each region until cancelled, also after it is removed from the declaration."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.fence.run())
            while True:
                followed = self._epochs_by_region.keys()
                added = [name for name in self._declared_regions() if name not in followed]
                for region in added:
                    tasks.create_task(self._add_region(region).run())
                await asyncio.sleep(_POLL_INTERVAL_S)

    def epoch_by_region(self) -> dict[str, int]:
        """Return the epoch of this host in each region, for heartbeats."""
        return {region: ledger.epoch for region, ledger in self._ledger_by_region.items()}

    def dump(self) -> dict[str, Any]:
        """Return the state as plain data."""
        return {region: ledger.dump() for region, ledger in self._ledger_by_region.items()}

    def _known_epochs(self) -> dict[str, int]:
        return {region: epochs.known_epoch() for region, epochs in self._epochs_by_region.items()}

    def _declared_regions(self) -> list[str]:
        try:
            return list(self._context.tracker.accepted().regions)
        except NotReadyError:
            return []

    def _add_region(self, region: str) -> RegionEpochs:
        ledger = self._ledger_by_region.get(region)
        if ledger is None:
            ledger = ShareLedger(region=region, holder=self._context.environment.holder)
            self._ledger_by_region[region] = ledger
        epochs = RegionEpochs(
            context=self._context,
            ledger=ledger,
            fence=self.fence,
            assigned_slots=self._assigned_slots,
        )
        self._epochs_by_region[region] = epochs
        return epochs

    def _on_announce(self, host: str, message: ShareEpochAnnounce) -> None:
        epochs = self._epochs_by_region.get(message.region)
        if epochs is not None:
            epochs.observe_epoch(message.epoch, sealing=message.sealing)

    def _on_sealed(self, host: str, message: ShareSealed) -> None:
        epochs = self._epochs_by_region.get(message.region)
        if epochs is not None:
            epochs.collect(message)

    def _on_heartbeat(self, host: str, message: Heartbeat) -> None:
        for region, epoch in message.epoch_by_region.items():
            epochs = self._epochs_by_region.get(region)
            if epochs is not None:
                epochs.observe_epoch(epoch)
