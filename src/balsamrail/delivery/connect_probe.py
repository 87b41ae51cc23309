"""Probes whether a target's machine and process are up by opening a TCP connection."""

from enum import Enum

from balsamrail.delivery.http_connection import HttpConnection
from balsamrail.environment import Environment
from balsamrail.errors import ExchangeError

# Required by HttpConnection; the probe reads nothing.
_MAX_RESPONSE_BYTES = 65_536


class Reachability(Enum):
    """Result of an attempt to open a connection."""

    accepting = 'accepting'
    refusing = 'refusing'
    silent = 'silent'


async def probe_reachability(
    *, environment: Environment, address: str, timeout_s: float
) -> Reachability:
    """Open a connection, close it and return the result.

    A machine whose process has ended refuses the connection; a machine without power does not
    respond at all.

    :param timeout_s: how long to wait for the connection, in seconds.
    """
    connection = HttpConnection(
        environment=environment,
        address=address,
        user_timeout_s=timeout_s,
        max_response_bytes=_MAX_RESPONSE_BYTES,
    )
    try:
        await connection.connect(deadline=environment.clock.monotonic() + timeout_s)
    except ExchangeError as error:
        return Reachability.silent if error.has_timed_out else Reachability.refusing
    finally:
        connection.close()
    return Reachability.accepting
