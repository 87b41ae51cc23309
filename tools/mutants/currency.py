"""Mechanisms that keep the state of entry hosts up to date."""

from tools.mutant import Mutant

CURRENCY = (
    Mutant(
        mechanism='each attempt uses the manifest in force',
        file='src/balsamrail/delivery/delivery_planner.py',
        old='if manifest is None or manifest.version == plan.manifest_version:',
        new='if True:',
        feature='features/delivery.feature',
        scenario='A retry uses the allowed regions',
    ),
    Mutant(
        mechanism='watchers follow each other',
        file='src/balsamrail/fleet/watch_assignment.py',
        old='return WatchAssignment(is_watcher=True, sources=sources)\n    followers',
        new='return WatchAssignment(is_watcher=True, sources=())\n    followers',
        feature='features/feed_currency.feature',
        scenario='A watch that stops responding',
    ),
    Mutant(
        mechanism='changes cross availability zones only on their way to the relays',
        file='src/balsamrail/fleet/relays.py',
        old='assigned = self._assigned_sources(own.availability_zone)[own.host]',
        new='assigned = shuffled_for(self.hosts(), follower=own.host)[:2]',
        feature='features/watch_duty.feature',
        scenario='Changes cross availability zones only',
    ),
    Mutant(
        mechanism='followers keep their relays when others leave',
        file='src/balsamrail/fleet/relays.py',
        old='order = shuffled_for(relays, follower=follower)',
        new='order = relays[len(sources_by_host) % 2 :] + relays[: len(sources_by_host) % 2]',
        feature='features/watch_duty.feature',
        scenario='Few followers change their relays',
    ),
    Mutant(
        mechanism='a truncated listing is rejected',
        file='src/balsamrail/fleet/object_codec.py',
        old='if not stream.eof:',
        new='if False:',
        feature='features/watch_duty.feature',
        scenario='A listing of many targets',
    ),
    Mutant(
        mechanism='a region without a current source follows other regions',
        file='src/balsamrail/fleet/store_watch.py',
        old='await self._follower.follow((*self._local_sources, *remote))',
        new='await self._follower.follow(self._local_sources)',
        feature='features/feed_currency.feature',
        scenario='A host that the store refuses',
    ),
    Mutant(
        mechanism='a host without a current source queries the store within the bound on changes',
        file='src/balsamrail/fleet/store_watch.py',
        old='_FALLBACK_DELAY_FRACTION = 0.2',
        new='_FALLBACK_DELAY_FRACTION = 0.75',
        feature='features/feed_currency.feature',
        scenario='A host that reaches the store but no other host',
    ),
    Mutant(
        mechanism='a starting host does not direct callers to other regions',
        file='src/balsamrail/fleet/directory.py',
        old='if not self._catalog.is_ready():',
        new='if False:',
        feature='features/directory.feature',
        scenario='A host that has just started',
    ),
)
