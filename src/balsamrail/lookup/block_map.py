"""Compact map from IPv4 /24 blocks to site numbers."""

import ipaddress
import struct
from array import array
from bisect import bisect_left
from collections.abc import Iterable, Iterator, Mapping

_GROUP_COUNT = 65_536
_GROUP_SIZE = 256
_BLOCK_BITS = 8
_GROUP_HEADER = struct.Struct('>HH')
# Base64 encoding makes a part a third larger; a store object holds at most 1 MB.
_MAX_PART_BYTES = 700_000


class BlockMap:
    """Maps IPv4 /24 blocks to site numbers below 256, with two bytes per block.

    Blocks are grouped by /16 prefix. An offset table points to the group of each prefix, which
    consists of the sorted low bytes of its blocks and the site of each. 3.5 million blocks take
    about 7.3 MB::

        block_map = BlockMap.from_pairs([(block_number('10.1.2.3'), 17)])
        block_map.site('10.1.2.200')  # 17
        block_map.site('10.9.9.9')  # None
    """

    __slots__ = ('_low_bytes', '_offsets', '_sites')

    def __init__(self) -> None:
        self._offsets = array('I', bytes(4 * (_GROUP_COUNT + 1)))
        self._low_bytes = b''
        self._sites = b''

    @classmethod
    def from_pairs(cls, pairs: Iterable[tuple[int, int]]) -> 'BlockMap':
        """Build from pairs of block number and site; the last pair of a block wins."""
        groups: dict[int, dict[int, int]] = {}
        for block, site in pairs:
            group, low_byte = divmod(block, _GROUP_SIZE)
            groups.setdefault(group, {})[low_byte] = site
        packed = {
            group: _pack_group(site_by_low_byte) for group, site_by_low_byte in groups.items()
        }
        return cls._from_groups(packed)

    @classmethod
    def from_parts(cls, parts: Iterable[bytes]) -> 'BlockMap':
        """Build from the parts of :meth:`to_parts`, in any order.

        :raises ValueError: if a part is truncated or not sorted.
        """
        packed: dict[int, tuple[bytes, bytes]] = {}
        for part in parts:
            packed.update(_unpack_part(part))
        return cls._from_groups(packed)

    def to_parts(self) -> Iterator[bytes]:
        """Yield the map in parts, each of which fits into a store object as base64 text."""
        part = bytearray()
        for group, (low_bytes, sites) in self._groups():
            if len(part) + _GROUP_HEADER.size + 2 * len(low_bytes) > _MAX_PART_BYTES:
                yield bytes(part)
                part.clear()
            part += _GROUP_HEADER.pack(group, len(low_bytes)) + low_bytes + sites
        if part:
            yield bytes(part)

    def changed(self, changes: Mapping[int, int | None]) -> 'BlockMap':
        """Return a copy with ``changes`` applied; ``None`` removes a block."""
        groups = dict(self._groups())
        site_by_low_byte_by_group: dict[int, dict[int, int]] = {}
        for block, site in changes.items():
            group, low_byte = divmod(block, _GROUP_SIZE)
            if group not in site_by_low_byte_by_group:
                known = groups.get(group, (b'', b''))
                site_by_low_byte_by_group[group] = dict(zip(*known, strict=True))
            if site is None:
                site_by_low_byte_by_group[group].pop(low_byte, None)
            else:
                site_by_low_byte_by_group[group][low_byte] = site
        for group, site_by_low_byte in site_by_low_byte_by_group.items():
            groups[group] = _pack_group(site_by_low_byte)
        return BlockMap._from_groups(groups)

    def site(self, address: str) -> int | None:
        """Return the site of an IP address, ``None`` for IPv6 and unknown blocks."""
        block = block_number(address)
        return None if block is None else self.site_of_block(block)

    def site_of_block(self, block: int) -> int | None:
        """Return the site of a block number, ``None`` if it is not in the map."""
        group, low_byte = divmod(block, _GROUP_SIZE)
        end = self._offsets[group + 1]
        index = bisect_left(self._low_bytes, low_byte, self._offsets[group], end)
        if index < end and self._low_bytes[index] == low_byte:
            return self._sites[index]
        return None

    def size_bytes(self) -> int:
        """Return the memory used by the map."""
        return self._offsets.itemsize * len(self._offsets) + 2 * len(self._low_bytes)

    def __len__(self) -> int:
        return len(self._low_bytes)

    @classmethod
    def _from_groups(cls, groups: Mapping[int, tuple[bytes, bytes]]) -> 'BlockMap':
        block_map = cls()
        total = 0
        for group in range(_GROUP_COUNT):
            block_map._offsets[group] = total
            total += len(groups[group][0]) if group in groups else 0
        block_map._offsets[_GROUP_COUNT] = total
        ordered = sorted(groups)
        block_map._low_bytes = b''.join(groups[number][0] for number in ordered)
        block_map._sites = b''.join(groups[number][1] for number in ordered)
        return block_map

    def _groups(self) -> Iterator[tuple[int, tuple[bytes, bytes]]]:
        start = 0
        for group in range(_GROUP_COUNT):
            end = self._offsets[group + 1]
            if end > start:
                yield group, (self._low_bytes[start:end], self._sites[start:end])
            start = end


def block_number(address: str) -> int | None:
    """Return the number of the /24 block of an IPv4 address, ``None`` for IPv6."""
    fields = address.split('.')
    if len(fields) == 4 and ':' not in address:
        return int(fields[0]) << 16 | int(fields[1]) << _BLOCK_BITS | int(fields[2])
    mapped = ipaddress.IPv6Address(address.partition('%')[0]).ipv4_mapped
    return None if mapped is None else int(mapped) >> _BLOCK_BITS


def _pack_group(site_by_low_byte: Mapping[int, int]) -> tuple[bytes, bytes]:
    low_bytes = bytes(sorted(site_by_low_byte))
    return low_bytes, bytes(site_by_low_byte[low_byte] for low_byte in low_bytes)


def _unpack_part(part: bytes) -> Iterator[tuple[int, tuple[bytes, bytes]]]:
    position = 0
    while position < len(part):
        if position + _GROUP_HEADER.size > len(part):
            raise ValueError('a part of the block map is truncated')
        group, count = _GROUP_HEADER.unpack_from(part, position)
        middle = position + _GROUP_HEADER.size + count
        position = middle + count
        low_bytes, sites = part[middle - count : middle], part[middle:position]
        if len(sites) != count or list(low_bytes) != sorted(set(low_bytes)):
            raise ValueError(f'the blocks of /16 number {group} are truncated or not sorted')
        yield group, (low_bytes, sites)
