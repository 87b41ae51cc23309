"""Optional kinds of faults, in addition to those of every run."""

BEHAVIOURS = ('leaving', 'refusing', 'endless', 'series', 'early', 'cut', 'customers')


def parse_behaviours(text: str) -> frozenset[str]:
    """Parse a comma-separated list of behaviours, ``all`` or ``none``.

    :raises ValueError: if a behaviour is unknown.
    """
    if text in {'all', 'none'}:
        return frozenset(BEHAVIOURS if text == 'all' else ())
    names = frozenset(text.replace(' ', '').split(','))
    if not names <= set(BEHAVIOURS):
        raise ValueError(f'known behaviours are {", ".join(BEHAVIOURS)}, all and none')
    return names
