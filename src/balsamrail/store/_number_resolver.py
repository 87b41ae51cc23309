"""Name resolution without names."""

import socket
from typing import Any

from tornado.netutil import Resolver


class NumberResolver(Resolver):
    """Takes IP numbers only. Tornado's own resolvers would start a thread for each look-up."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address as it is."""
        if ':' in host:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]
