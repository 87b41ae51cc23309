"""Mechanisms that keep hosts from accepting API keys long after their withdrawal."""

from tools.mutant import Mutant

_FEATURE = 'features/manifest_lease.feature'
_LEASE = 'src/balsamrail/fleet/manifest_lease.py'
_QUESTIONS = 'src/balsamrail/fleet/manifest_questions.py'
_READER = 'src/balsamrail/fleet/consistent_reader.py'
_RENEWAL = 'src/balsamrail/fleet/manifest_renewal.py'
_SCHEDULE = 'src/balsamrail/fleet/renewal_schedule.py'
_RANDOM = 'Random delays, cuts, freezes and losses'

MANIFEST_LEASE = (
    Mutant(
        mechanism='a host without recent evidence accepts no keys',
        file=_LEASE,
        old='return revoke_s is None or self.age_s() < _LEASE_FRACTION * revoke_s',
        new='return True',
        feature=_FEATURE,
        scenario=_RANDOM,
    ),
    Mutant(
        mechanism='the lease counts the suspension of the machine',
        file=_LEASE,
        old='return self._environment.clock.boottime() - self.confirmed_until',
        new='return self._environment.clock.monotonic() - self.confirmed_until',
        feature=_FEATURE,
        scenario='A machine is suspended',
    ),
    Mutant(
        mechanism='the boot time is that of the system',
        file='src/balsamrail/clock.py',
        old='    return _system_boottime\n',
        new='    return loop.time\n',
        feature=_FEATURE,
        scenario='The clock of leases',
    ),
    Mutant(
        mechanism='a read counts from before it was sent',
        file=_READER,
        old='self._lease.note_read(sent_at=sent_at, era=answer.revision.era)',
        new=(
            'self._lease.note_read('
            'sent_at=self._environment.clock.boottime(), era=answer.revision.era)'
        ),
        feature=_FEATURE,
        scenario='A late answer of the store',
    ),
    Mutant(
        mechanism='an answer of a peer counts from before the question was sent',
        file=_QUESTIONS,
        old='            sent_at=sent_at,\n',
        new='            sent_at=self._environment.clock.boottime(),\n',
        feature=_FEATURE,
        scenario='Evidence of a peer',
    ),
    Mutant(
        mechanism='a peer with another manifest confirms nothing',
        file=_LEASE,
        old='        if version == self.manifest_version():\n',
        new='        if True:\n',
        feature=_FEATURE,
        scenario='Evidence of a peer',
    ),
    Mutant(
        mechanism='a peer that knows only an older era confirms nothing',
        file=_LEASE,
        old='if age_s < 0 or era < self.era:',
        new='if age_s < 0:',
        feature=_FEATURE,
        scenario='Evidence of a peer',
    ),
    Mutant(
        mechanism='an answer with a later manifest counts when the host has it',
        file=_LEASE,
        old='            self._pending = evidence\n',
        new='            pass\n',
        feature=_FEATURE,
        scenario='Evidence of a peer',
    ),
    Mutant(
        mechanism='an answer counts only for the host that was asked',
        file=_QUESTIONS,
        old='if asked != host or not self._lease.is_required():',
        new='if not asked:',
        feature=_FEATURE,
        scenario='Answers that were not asked for',
    ),
    Mutant(
        mechanism='evidence is limited after a return of the store',
        file=_LEASE,
        old='        if until >= self._limited_until:\n',
        new='        if True:\n',
        feature=_FEATURE,
        scenario='The store loses the withdrawal',
    ),
    Mutant(
        mechanism='a return of the store without an outage refuses nobody',
        file=_LEASE,
        old='_RETURN_FRACTION = 0.1',
        new='_RETURN_FRACTION = -1',
        feature=_FEATURE,
        scenario='Evidence while lost changes may be missing',
    ),
    Mutant(
        mechanism='nothing is sent without a bound on withdrawals',
        file=_RENEWAL,
        old='        if revoke_s is None:\n',
        new='        revoke_s = revoke_s or 5\n        if False:\n',
        feature=_FEATURE,
        scenario='Nothing happens without a bound',
    ),
    Mutant(
        mechanism='one watcher of a region reads',
        file='src/balsamrail/fleet/watch_assignment.py',
        old='        if any(state_of(host) is WatcherState.sound for host in self.earlier_watchers):\n',
        new='        if False:\n',
        feature=_FEATURE,
        scenario='Hosts with a path to the store never refuse',
    ),
    Mutant(
        mechanism='followers renew their evidence from their sources',
        file=_QUESTIONS,
        old='        self._send(host, ManifestAgeRequest(number=self._number))\n',
        new='        return\n',
        feature=_FEATURE,
        scenario='Hosts with a path to the store never refuse',
    ),
    Mutant(
        mechanism='hosts without peers read for themselves',
        file=_SCHEDULE,
        old='_FOLLOWER_READ_AGE = 0.48',
        new='_FOLLOWER_READ_AGE = 48',
        feature=_FEATURE,
        scenario='Watchers whose reads fail',
    ),
    Mutant(
        mechanism='hosts that no followed host confirms ask others',
        file=_RENEWAL,
        old='                asked = [*sources, *self._stranger(sources)]\n',
        new='                asked = sources\n',
        feature=_FEATURE,
        scenario='Watchers whose reads fail',
    ),
    Mutant(
        mechanism='sources are asked at once when the manifest arrives',
        file=_RENEWAL,
        old='            self._wake.set()\n',
        new='            pass\n',
        feature=_FEATURE,
        scenario='Hosts that restart one after the other',
    ),
    Mutant(
        mechanism='a listing by the feed is evidence',
        file='src/balsamrail/catalog/feed.py',
        old='        if self._on_listed is not None:\n',
        new='        if False:\n',
        feature=_FEATURE,
        scenario='All hosts start',
    ),
    Mutant(
        mechanism='a read whose history is gone makes the kind be listed',
        file=_READER,
        old='            return await self._list()\n',
        new='            return False\n',
        feature=_FEATURE,
        scenario='A read whose changes the store has discarded',
    ),
    Mutant(
        mechanism='a watcher leaves the listing after a discarded history to its feed',
        file=_READER,
        old='        if self._watch.is_watching():\n',
        new='        if False:\n',
        feature=_FEATURE,
        scenario='A read whose changes the store has discarded',
    ),
    Mutant(
        mechanism='hosts do not read while their evidence is renewed by others',
        file=_SCHEDULE,
        old='_MAX_ADVANCE_INTERVAL = 0.26',
        new='_MAX_ADVANCE_INTERVAL = 0',
        feature=_FEATURE,
        scenario='A slow store',
    ),
    Mutant(
        mechanism='hosts read little during an outage',
        file='src/balsamrail/fleet/store_watch.py',
        old='return not self._tasks or (self._contact.is_up() and not self._contact.is_overdue())',
        new='return True',
        feature=_FEATURE,
        scenario='An outage of the store',
    ),
    Mutant(
        mechanism='look-ups leave out a host that refuses keys',
        file='src/balsamrail/fleet/directory.py',
        old='return others if has_neighbours and self._refuses_keys() else members',
        new='return members',
        feature=_FEATURE,
        scenario='Look-ups while the manifest is not confirmed',
    ),
    Mutant(
        mechanism='the lease is renewed by the process',
        file='src/balsamrail/entry/entry_host.py',
        old="            'manifest_lease': self.store_components.manifest_renewal,\n            'reviver'",
        new="            'reviver'",
        feature=_FEATURE,
        scenario='Processes whose store fails',
    ),
)
