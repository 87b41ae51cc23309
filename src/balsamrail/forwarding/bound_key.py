"""An idempotency key that is bound to one incarnation of a host."""

import re
from dataclasses import dataclass

from balsamrail.errors import KeyInvalidError

_BOUND_KEY = re.compile('([a-z0-9][a-z0-9-]{0,62}):([0-9a-f]{20}):([0-9]{1,12})[.](.+)')
_VALID_KEY = re.compile('[!-~]{1,255}')


@dataclass(slots=True, kw_only=True, frozen=True)
class BoundKey:
    """A key of the form ``<host>:<incarnation>:<expiry in wall s>.<caller part>``.

    Only the incarnation that it names ever executes the request.
    """

    host: str
    incarnation: str
    expiry_wall_s: int
    caller_part: str

    @property
    def prefix(self) -> str:
        """What a lookup hands out: the key without the dot and the caller's part."""
        return f'{self.host}:{self.incarnation}:{self.expiry_wall_s}'

    @classmethod
    def parse(cls, text: str) -> 'BoundKey | None':
        """Read a key, ``None`` if it is a caller's own key.

        :raises KeyInvalidError: if it is empty, longer than 255 characters or not visible ASCII.
        """
        if not _VALID_KEY.fullmatch(text):
            raise KeyInvalidError(detail='the key is not 1 to 255 visible ASCII characters')
        match = _BOUND_KEY.fullmatch(text)
        if match is None:
            return None
        host, incarnation, expiry, caller_part = match.groups()
        return cls(
            host=host,
            incarnation=incarnation,
            expiry_wall_s=int(expiry),
            caller_part=caller_part,
        )


def make_key_prefix(*, host: str, incarnation: str, expiry_wall_s: float) -> str:
    """Return the ``key_prefix`` of a lookup, without the dot before the caller's part."""
    return f'{host}:{incarnation}:{int(expiry_wall_s)}'
