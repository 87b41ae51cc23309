"""Finds the process at the other end of a loopback connection."""

import contextlib
from pathlib import Path

_LOCAL_ADDRESS_FIELD = 1
_INODE_FIELD = 9


def owned_ports(pid: int) -> frozenset[int]:
    """Return the local ports of the TCP connections of a process; empty if it has ended."""
    inodes = set()
    with contextlib.suppress(OSError):
        for entry in Path(f'/proc/{pid}/fd').iterdir():
            with contextlib.suppress(OSError):
                link = str(entry.readlink())
                if link.startswith('socket:['):
                    inodes.add(link[len('socket:[') : -1])
    rows = (line.split() for line in Path('/proc/net/tcp').read_text().splitlines()[1:])
    return frozenset(
        int(row[_LOCAL_ADDRESS_FIELD].rpartition(':')[2], 16)
        for row in rows
        if row[_INODE_FIELD] in inodes
    )
