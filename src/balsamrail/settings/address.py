"""IP addresses with a port."""

import ipaddress
from typing import NewType

from apischema import ValidationError, deserializer, schema

Address = NewType('Address', str)
schema(
    description='IP number and port, such as 10.1.2.3:8080 or [fd00::1]:8080',
    pattern=r'^.+:\d{1,5}$',
)(Address)

_MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return the IP address and the port of ``address``.

    :raises ValueError: if the format is invalid. Host names are rejected, since hosts communicate
        by IP address.
    """
    number, _, port_text = address.rpartition(':')
    number = number.removeprefix('[').removesuffix(']')
    ipaddress.ip_address(number)
    if not (port_text.isascii() and port_text.isdigit()):
        raise ValueError(f'the port {port_text!r} is not a number')
    port = int(port_text)
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f'port {port} is not within 1..{_MAX_PORT}')
    return number, port


@deserializer
def _checked_address(text: str) -> Address:
    try:
        split_address(text)
    except ValueError as error:
        raise ValidationError(f'{text!r} is not an IP number with a port: {error}')
    return Address(text)
