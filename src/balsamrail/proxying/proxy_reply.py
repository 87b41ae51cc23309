"""The result of a request that was sent through another host."""

from dataclasses import dataclass

from balsamrail.delivery.http_message import HttpResponse

# Codes of refusals after which another host is unlikely to serve the request either.
_FINAL_CODES = frozenset(('overloaded', 'deadline_expired', 'quarantined', 'crashes_targets'))
# Codes of refusals that concern the host itself and not the request.
_HOST_CODES = frozenset(('paths_lost', 'not_ready', 'host_leaving', 'unknown_route'))


@dataclass(slots=True, kw_only=True, frozen=True)
class ProxyAnswer:
    """The response of a target.

    :param attempted: the targets to which the other host sent the request.
    """

    response: HttpResponse
    attempted: tuple[str, ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ProxyRefusal:
    """The request did not run and will not.

    :param code: the error code of the other host.
    :param retry_after_s: when a retry may succeed, in seconds from now.
    """

    code: str
    retry_after_s: float
    attempted: tuple[str, ...]

    def is_final(self) -> bool:
        """Return whether other hosts are unlikely to serve the request either."""
        return self.code in _FINAL_CODES

    def excludes_host(self) -> bool:
        """Return whether the other host refuses all requests at the moment."""
        return self.code in _HOST_CODES


@dataclass(slots=True, kw_only=True, frozen=True)
class ProxyFailure:
    """The other host got no response, so the request may have run."""

    code: str
    has_timed_out: bool
    attempted: tuple[str, ...]


ProxyReply = ProxyAnswer | ProxyRefusal | ProxyFailure
