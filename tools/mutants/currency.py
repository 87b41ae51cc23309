"""Mechanisms that keep what entry hosts decide by up to date."""

from tools.mutant import Mutant

CURRENCY = (
    Mutant(
        mechanism='each attempt goes by the manifest in force',
        file='src/balsamrail/delivery/routing_planner.py',
        old='if manifest is None or manifest.version == plan.manifest_version:',
        new='if True:',
        feature='features/delivery.feature',
        scenario='A retry uses the allowed regions',
    ),
    Mutant(
        mechanism='watchers follow each other',
        file='src/balsamrail/fleet/watch_duty.py',
        old='return WatchDuty(is_own=True, followed=others)\n    relays',
        new='return WatchDuty(is_own=True, followed=())\n    relays',
        feature='features/feed_currency.feature',
        scenario='A watch that goes silent',
    ),
    Mutant(
        mechanism='a region that hears nothing follows other regions',
        file='src/balsamrail/fleet/store_watch.py',
        old='await self._follower.follow((*self._near, *distant))',
        new='await self._follower.follow(self._near)',
        feature='features/feed_currency.feature',
        scenario='A host that the store turns away',
    ),
    Mutant(
        mechanism='a host that hears nobody asks the store within the bound on changes',
        file='src/balsamrail/fleet/store_watch.py',
        old='_PATIENCE_PART = 0.2',
        new='_PATIENCE_PART = 0.75',
        feature='features/feed_currency.feature',
        scenario='A host that reaches the store but no other host',
    ),
    Mutant(
        mechanism='a starting host sends no caller to another region',
        file='src/balsamrail/fleet/directory.py',
        old='if not self._catalog.is_ready():',
        new='if False:',
        feature='features/directory.feature',
        scenario='A host that has just started',
    ),
)
