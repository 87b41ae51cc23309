"""Starts an entry host without importing the command line, which would double the start-up time.

``python -m balsamrail.entry FILE`` is equivalent to ``balsamrail entry --settings FILE``.
"""

import os
import signal
import sys


def _main() -> int:
    # The default action of SIGHUP terminates the process, and the imports are the longest part of
    # the start-up.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from balsamrail.entry.serve import serve_file

    return serve_file(sys.argv[1])


def _end_process(code: int) -> None:
    """End without freeing each object, which takes 0.1 s of the grace period."""
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == '__main__':
    _end_process(_main())
