"""Measures how the costs of each role scale, as the basis of docs/CAPACITY.md.

``python -m benchmarks.capacity`` prints a Markdown table followed by the same data as JSON lines.
``python -m benchmarks.capacity steering keys`` only measures these roles.
"""

import argparse
from collections.abc import Callable

from benchmarks import (
    capacity_configuration,
    capacity_forwarding,
    capacity_keys,
    capacity_libraries,
    capacity_lookup,
    capacity_membership,
    capacity_steering,
)
from benchmarks.slope import Slope

_SLOPES_BY_ROLE: dict[str, Callable[[], list[Slope]]] = {
    'lookup': capacity_lookup.slopes,
    'forwarding': capacity_forwarding.slopes,
    'steering': capacity_steering.slopes,
    'membership': capacity_membership.slopes,
    'configuration': capacity_configuration.slopes,
    'keys': capacity_keys.slopes,
}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('roles', nargs='*', metavar='ROLE', help=', '.join(_SLOPES_BY_ROLE))
    roles = parser.parse_args().roles or list(_SLOPES_BY_ROLE)
    print('| figure | size: measured | slope | at size 0 | residual | unit |', flush=True)
    print('|---|---|---|---|---|---|', flush=True)
    slopes = []
    for role in roles:
        for slope in _SLOPES_BY_ROLE[role]():
            slopes.append(slope)
            print(slope.row(), flush=True)
    print()
    for slope in slopes:
        print(slope.line())
    for figure in capacity_libraries.run():
        print(figure.line())


if __name__ == '__main__':
    main()
