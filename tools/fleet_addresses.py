"""Relocates the addresses of an example deployment, so that fleets do not share addresses."""

import json
import re
from typing import Any

_ADDRESS = re.compile(r'"127\.\d+\.(\d+)\.(\d+):(\d+)"')


def move_addresses(documents: Any, *, network: int, offset: int) -> Any:
    """Return the documents with all addresses in 127.``network``.0.0/16.

    :param offset: added to each port.
    """

    def moved(match: re.Match[str]) -> str:
        third, fourth, port = match.groups()
        # The store stand-in only listens on 127.0.0.1.
        second = 0 if (third, fourth) == ('0', '1') else network
        shift = 1_000 * (network - 29) + offset if second == 0 else offset
        return f'"127.{second}.{third}.{fourth}:{int(port) + shift}"'

    return json.loads(_ADDRESS.sub(moved, json.dumps(documents)))
