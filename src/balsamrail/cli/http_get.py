"""HTTP requests of the commands to hosts."""

import asyncio
import json
from typing import Any

from balsamrail.cli.exit_code import HostUnreachableError, UsageError
from balsamrail.cli.progress import with_progress

_REQUEST_TIMEOUT_S = 5


def get_json(*, address: str, path: str) -> Any:
    """Return the JSON response of a host.

    :param address: IP address and port, such as ``127.0.0.1:7003``.
    :raises HostUnreachableError: if the host does not respond within 5 s, or not with JSON.
    :raises UsageError: if ``address`` is not an IP address with a port, or the host responds that
        the resource does not exist, such as the service of a lookup.
    """
    return asyncio.run(with_progress(_get(address, path), text=f'waiting for host {address}'))


async def _get(address: str, path: str) -> Any:
    from tornado.httpclient import AsyncHTTPClient, HTTPError

    from balsamrail.settings.address import split_address

    try:
        split_address(address)
    except ValueError as error:
        raise UsageError(f'{address!r} is not an IP number with a port: {error}') from error
    client = AsyncHTTPClient()
    try:
        response = await client.fetch(
            f'http://{address}{path}',
            connect_timeout=_REQUEST_TIMEOUT_S,
            request_timeout=_REQUEST_TIMEOUT_S,
        )
        return json.loads(response.body)
    except HTTPError as error:
        raise _error_from_response(address, error) from error
    except (OSError, ValueError) as error:
        raise HostUnreachableError(f'host {address}: {error}') from error


def _error_from_response(address: str, error: Any) -> UsageError | HostUnreachableError:
    text = ''
    if error.response is not None and error.response.body:
        text = error.response.body.decode(errors='replace').strip()
    try:
        text = json.loads(text)['detail']
    except (ValueError, TypeError, KeyError):
        text = text or str(error)
    if error.code == 404:
        return UsageError(f'host {address}: {text}')
    return HostUnreachableError(f'host {address}: {text}')
