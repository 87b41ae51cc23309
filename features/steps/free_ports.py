"""Ports of 127.0.0.1 for processes that listen on them later.

A port that the kernel chooses is free again until the process listens on it, and the kernel may
choose it once more, for another listener or for an outgoing connection. One host in 1,100 got the
same port for two of its listeners that way and never started. The ports below are outside the range
that the kernel chooses from, and each is returned only once.
"""

import itertools
import os
import socket
from pathlib import Path

_KERNEL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')
_FIRST = 10_000
_STRIDE = 97


def _candidates():
    end = int(_KERNEL_RANGE.read_text().split()[0])
    count = end - _FIRST
    # Test runs that overlap begin at different ports.
    start = os.getpid() * _STRIDE % count
    return (_FIRST + (start + index) % count for index in itertools.count())


_PORTS = _candidates()


def free_port():
    """Return a port on which nothing listens, other than all that were returned before."""
    for port in _PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


def free_address():
    """Return an address on which nothing listens, other than all that were returned before."""
    return f'127.0.0.1:{free_port()}'
