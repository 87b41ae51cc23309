"""Limits enforced by the tornado server."""

from typing import Any

from balsamrail.settings import Limits

# The handler responds with 431 up to this factor; above it tornado closes the connection.
_HEADER_LIMIT_FACTOR = 4
_MIN_BUFFER_BYTES = 1_048_576
_IDLE_TIMEOUT_S = 60


def http_server_options(limits: Limits) -> dict[str, Any]:
    """Return the arguments of the :class:`tornado.httpserver.HTTPServer` for callers::

        HTTPServer(application, **http_server_options(settings.limits))

    Bodies are streamed, so the buffer of a connection may be smaller than a body.
    """
    header_bytes = limits.header_bytes * _HEADER_LIMIT_FACTOR
    return {
        'max_header_size': header_bytes,
        'max_buffer_size': max(_MIN_BUFFER_BYTES, 2 * header_bytes),
        'idle_connection_timeout': _IDLE_TIMEOUT_S,
    }
