"""How many connections callers may open."""

from dataclasses import dataclass

from balsamrail.settings import Settings

# The platform reserves as many descriptors of each host for files.
_RESERVED = 200
# A process with few descriptors still accepts some connections.
_SMALLEST_PART = 4
_CALLERS_PART = 2
_PAGES_PART = 8
# A connection whose body arrives in chunks takes up to 80 kB besides the body, so that these may
# take a quarter of the memory.
_CALLERS_PER_MB = 3
_BYTES_IN_MB = 1_000_000
# The part of the memory that received and unread bytes may take, which are few unless callers send
# more than the host reads.
_UNREAD_PART = 8
_MIN_RECEIVE_BUFFER_BYTES = 16_384
_MAX_RECEIVE_BUFFER_BYTES = 65_536


@dataclass(slots=True, kw_only=True, frozen=True)
class DescriptorLimits:
    """The parts of the descriptors of a process that are left to callers.

    The rest is for files, targets, other hosts and the store.

    :param callers: connections of the callers' address.
    :param pages: connections of the readiness, look-up and operator addresses together.
    :param receive_buffer_bytes: received bytes that the operating system keeps of each connection.
    """

    callers: int
    pages: int
    receive_buffer_bytes: int

    @classmethod
    def of(cls, settings: Settings) -> 'DescriptorLimits':
        """Return the limits of the settings, derived from the descriptors where they name none."""
        total = settings.max_descriptors
        free = max(total - _RESERVED, total // _SMALLEST_PART)
        derived = min(free // _CALLERS_PART, settings.memory_mb * _CALLERS_PER_MB)
        callers = settings.limits.caller_connections or derived
        unread_bytes = settings.memory_mb * _BYTES_IN_MB // _UNREAD_PART
        return cls(
            callers=callers,
            receive_buffer_bytes=max(
                _MIN_RECEIVE_BUFFER_BYTES, min(_MAX_RECEIVE_BUFFER_BYTES, unread_bytes // callers)
            ),
            pages=settings.limits.page_connections or free // _PAGES_PART,
        )
