"""Resolver for IP addresses without DNS."""

import socket
from typing import Any

from tornado.netutil import Resolver


class IpAddressResolver(Resolver):
    """Accepts only IP addresses. Tornado's resolvers would start a thread for each lookup."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return the address unchanged."""
        if ':' in host:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]
