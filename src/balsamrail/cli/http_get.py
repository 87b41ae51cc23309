"""Calls of the command line to hosts."""

import asyncio
import json
from typing import Any

from balsamrail.cli.exit_code import HostUnreachableError, UsageError
from balsamrail.cli.progress import with_progress

_TIMEOUT_S = 5


def get_json(*, address: str, path: str) -> Any:
    """Return the JSON answer of a host.

    :param address: IP number and port, such as ``127.0.0.1:7003``.
    :raises HostUnreachableError: if the host does not answer within 5 s or answers no JSON.
    :raises UsageError: if ``address`` is not an IP number with a port, or the host knows no such
        thing, such as the service of a look-up.
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
            f'http://{address}{path}', connect_timeout=_TIMEOUT_S, request_timeout=_TIMEOUT_S
        )
        return json.loads(response.body)
    except HTTPError as error:
        raise _refused(address, error) from error
    except (OSError, ValueError) as error:
        raise HostUnreachableError(f'host {address}: {error}') from error


def _refused(address: str, error: Any) -> UsageError | HostUnreachableError:
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
