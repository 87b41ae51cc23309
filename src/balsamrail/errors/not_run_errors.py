"""Errors for requests that did not run and can safely be resent."""

from balsamrail.errors.request_error import RequestError


class NotRunError(RequestError):
    """The request did not run on any upstream."""

    code = 'not_run'
    status = 503
    outcome = 'not_run'

    def __init__(self, *, detail: str, retry_after_s: float = 1) -> None:
        super().__init__(detail=detail, retry_after_s=retry_after_s)


class OverloadedError(NotRunError):
    """The host has no share with free capacity for the request."""

    code = 'overloaded'


class NoTargetError(NotRunError):
    """No target of the service can accept the request."""

    code = 'no_target'


class PathsLostError(NotRunError):
    """The host reaches no target, and was asked by another host that reaches none either."""

    code = 'paths_lost'


class ProxyBusyError(NotRunError):
    """The host serves as many requests for other hosts as it takes on."""

    code = 'proxy_busy'


class HostLeavingError(NotRunError):
    """The host is shutting down and accepts no new requests."""

    code = 'host_leaving'


class NotReadyError(NotRunError):
    """The host has no declaration in force yet."""

    code = 'not_ready'


class DeadlineExpiredError(NotRunError):
    """The deadline passed before the request was sent to an upstream."""

    code = 'deadline_expired'


class QuarantinedError(NotRunError):
    """Several requests like this one in succession crashed their targets without a response."""

    code = 'quarantined'


class ManifestUnconfirmedError(NotRunError):
    """The host does not know whether the API key of the request has been withdrawn meanwhile."""

    code = 'manifest_unconfirmed'


class UnknownCustomerError(NotRunError):
    """The host does not know the customer that another host identified."""

    code = 'unknown_customer'


class QuotaExceededError(NotRunError):
    """The requests of the customer, over all hosts, exceed its quota."""

    code = 'quota_exceeded'
    status = 429


class CallerMemoryError(NotRunError):
    """The requests that the host is receiving take all the memory that it has for them."""

    code = 'caller_memory'
