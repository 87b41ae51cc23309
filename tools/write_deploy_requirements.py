"""Write deploy/requirements.txt: the runtime dependencies from the lock file."""

import re

from tools.build_binary import ROOT, distributions

LOCK = ROOT / 'requirements.lock'
TARGET = ROOT / 'deploy' / 'requirements.txt'


def main() -> None:
    wanted = set(distributions())
    blocks = re.split(r'^(?=[A-Za-z0-9])', LOCK.read_text(), flags=re.M)
    kept = [
        re.sub(r'^    #.*\n', '', block, flags=re.M)
        for block in blocks
        if re.sub('[-_.]+', '-', block.partition('==')[0]).lower() in wanted
    ]
    assert len(kept) == len(wanted), sorted(wanted)
    TARGET.write_text(''.join(kept))


if __name__ == '__main__':
    main()
