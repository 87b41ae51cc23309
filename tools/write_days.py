"""Write day files of the users' bench, one for each disruption and variant and for some pairs.

The bench is not part of the repository; ``fleetbench run SITE deploy/days/FILE`` runs a day on a
site. Classes, services and zones are placeholders of the bench, and the files contain no traffic, so
that each day has the load of the site that it is played on. The bench leaves a day out on sites that
do not support its disruptions. Each disruption occurs three times per day; the disruptions of a pair
start in the same second.
"""

import itertools
import random
from pathlib import Path

FOLDER = Path(__file__).resolve().parent.parent / 'deploy' / 'days'
MOMENTS = (4.0, 13.0, 22.0)
# Kind, further fields and variants ('' is the default one). PLAN contains planned operations.
FAULTS: dict[str, tuple[str, tuple[str, ...]]] = {
    'burst': ('x = 2.0, for_s = 4.0', ('',)),
    'shift': ('share = 0.8, for_s = 5.0, zone = "@z0", to_zone = "@z1"', ('',)),
    'retry_abuse': ('share = 0.3, x = 3.0, for_s = 4.0', ('',)),
    'give_up': ('share = 0.3, for_s = 4.0', ('', 'once')),
    'srv_crash': ('share = 0.2, for_s = 4.0, service = "@s0"', ('', 'dark', 'gone', 'domain')),
    'srv_slow': ('share = 0.3, x = 4.0, for_s = 5.0, service = "@s0"', ('', 'across')),
    'srv_grey': ('share = 0.3, x = 0.5, for_s = 5.0, service = "@s0"', ('', 'shed', 'shed all')),
    'replace_with_reuse': ('share = 0.2', ('', 'drain', 'dark')),
    'cold_return': ('zone = "@z0", for_s = 2.0', ('', 'dark')),
    'answer_lost': ('share = 0.5, x = 0.1, for_s = 4.0', ('', 'reset')),
    'garble': (
        'share = 0.5, x = 0.05, for_s = 4.0',
        ('', 'extra', 'extra late', 'unframed', 'early'),
    ),
    'node_kill': ('share = 0.2, for_s = 3.0', ('', 'power', 'leader')),
    'node_freeze': ('share = 0.2, for_s = 3.0', ('',)),
    'node_slow': ('share = 0.2, x = 5.0, for_s = 4.0', ('',)),
    'herd_kill': ('share = 0.6', ('', 'power')),
    'after_ack_kill': ('count = 1', ('', 'kill', 'timed')),
    'clock_step': ('share = 0.5, x = 2000, for_s = 4.0', ('', 'back', 'ahead')),
    'hup': ('share = 0.5, gap_s = 0.5', ('',)),
    'zone_loss': ('zone = "@z0", for_s = 3.0', ('',)),
    'core_cut': ('count = 1, for_s = 4.0', ('', 'split', 'all', 'one_way', 'meet')),
    'node_cut': (
        'share = 0.2, for_s = 4.0',
        ('', 'all', 'servers', 'meet', 'drain', 'reset', 'refuse'),
    ),
    'lossy': ('zone = "@z0", x = 0.05, for_s = 5.0', ('',)),
    'zone_cut': ('zone = "@z0", for_s = 4.0', ('',)),
    'reset_conns': ('share = 0.3, x = 0.5', ('',)),
    'platform_down': (
        'share = 0.35, for_s = 4.0',
        (
            '',
            'silent',
            'busy',
            'reset',
            'silent lapse',
            'nodes busy',
            'nodes many',
            'nodes meet drain',
        ),
    ),
    'platform_slow': ('x = 50.0, for_s = 4.0', ('',)),
    'platform_lost': ('x = 0.3, for_s = 4.0', ('', 'late')),
    'platform_compact': ('for_s = 3.0, x = 4.0', ('', 'drain')),
}
PLAN: dict[str, tuple[str, tuple[str, ...]]] = {
    'release': ('share = 0.4, x = 1.0, gap_s = 0.7, service = "@s0"', ('',)),
    'scale_out': ('share = 0.3, gap_s = 0.5, service = "@s0"', ('',)),
    'scale_in': ('share = 0.1', ('', 'spot', 'stay')),
    'roll_term': ('share = 0.35, x = 1.0, gap_s = 1.0', ('', 'busy', 'leader', 'remove')),
    'config_change': ('', ('route', 'weights', 'timeout', 'skew')),
    'config_storm': ('gap_s = 0.3, for_s = 2.0', ('',)),
    'big_config': ('count = 200', ('',)),
    'evacuate': ('zone = "@z0", for_s = 5.0', ('', 'warm')),
}
# Kinds of the contracts "health" and "pool", which only some sites implement.
CONTRACT_FAULTS: dict[str, tuple[str, tuple[str, ...]]] = {
    'srv_lying_health': ('share = 0.1, for_s = 5.0', ('errors', 'reset')),
    'srv_flap': ('share = 0.1, gap_s = 1.4, for_s = 5.0', ('',)),
    'idle_race': ('share = 0.5, x = 320.0, for_s = 5.0', ('',)),
}
CLOSINGS = ('kill_all', 'power_off_all')
PAIRS = 40


def entry(at: float, kind: str, fields: str, how: str) -> str:
    parts = [f'at = {at}', f'kind = "{kind}"', *([fields] if fields else [])]
    if how:
        parts.append(f'how = "{how}"')
    return '  { ' + ', '.join(parts) + ' },\n'


def day(name: str, *, seed: int, faults: list[str], plan: list[str]) -> str:
    closing = CLOSINGS[seed % len(CLOSINGS)]
    return (
        f'name = "{name}"\nslot = "trouble"\nseed = {seed}\n'
        f'closing = {{ kind = "{closing}", down_s = 1.0 }}\n'
        f'plan = [\n{"".join(plan)}]\nfaults = [\n{"".join(faults)}]\n'
    )


def variants() -> list[tuple[str, str, str, bool]]:
    found = []
    for table, is_planned in ((FAULTS, False), (PLAN, True), (CONTRACT_FAULTS, False)):
        for kind, (fields, hows) in table.items():
            found.extend((kind, fields, how, is_planned) for how in hows)
    return found


def write() -> int:
    chance = random.Random(1)
    singles = variants()
    pairs = chance.sample(list(itertools.combinations(singles, 2)), PAIRS)
    groups = [*((one,) for one in singles), *pairs]
    for number, group in enumerate(groups, start=1):
        name = '--'.join('-'.join([kind, *how.split()]) for kind, _, how, _ in group)
        entries: tuple[list[str], list[str]] = ([], [])
        for kind, fields, how, is_planned in group:
            for at in MOMENTS:
                entries[is_planned].append(entry(at, kind, fields, how))
        text = day(name, seed=number, faults=entries[0], plan=entries[1])
        (FOLDER / f'{number:03}-{name}.toml').write_text(text)
    return len(groups)


def main() -> int:
    FOLDER.mkdir(parents=True, exist_ok=True)
    for old in FOLDER.glob('*.toml'):
        old.unlink()
    print(f'{write()} days')
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
