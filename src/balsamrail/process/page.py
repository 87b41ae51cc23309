"""A page that a process serves."""

from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True, kw_only=True, frozen=True)
class Page:
    """A complete small answer."""

    body: str
    media_type: str = 'application/json'
    status: HTTPStatus = HTTPStatus.OK
