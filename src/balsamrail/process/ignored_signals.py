"""Ignoring of signals at the end of a process."""

import asyncio
import signal
from collections.abc import Collection


def ignore_signals(numbers: Collection[signal.Signals]) -> None:
    """Ignore signals from now on, in place of the running loop's handlers.

    Removing a handler restores the default action, which terminates the process, so the signals
    are blocked until they are ignored. Closing the loop afterwards removes no handlers::

        ignore_signals((signal.SIGTERM, signal.SIGHUP))
    """
    loop = asyncio.get_running_loop()
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
