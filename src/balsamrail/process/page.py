"""A page served by a process."""

from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True, kw_only=True, frozen=True)
class Page:
    """A complete HTTP answer with a small body."""

    body: str
    media_type: str = 'application/json'
    status: HTTPStatus = HTTPStatus.OK
