"""Errors for requests that are rejected and would be rejected again if resent unchanged."""

from balsamrail.errors.request_error import RequestError


class UnknownRouteError(RequestError):
    """The manifest has no route for the request."""

    code = 'unknown_route'
    status = 404


class UnknownServiceError(RequestError):
    """The declaration has no such service."""

    code = 'unknown_service'
    status = 404


class TargetCrashingRequestError(RequestError):
    """The request crashed every target that ran it and is temporarily rejected."""

    code = 'crashes_targets'
    status = 422


class BadRequestError(RequestError):
    """The request is malformed."""

    code = 'bad_request'
    status = 400


class BodyTimeoutError(BadRequestError):
    """The request body was not received before the timeout."""

    status = 408


class TooLargeError(RequestError):
    """The body or the headers exceed the size limit."""

    code = 'too_large'
    status = 413


class HeadersTooLargeError(TooLargeError):
    """The headers exceed the size limit."""

    status = 431


class KeyInvalidError(RequestError):
    """The idempotency key is malformed."""

    code = 'key_invalid'
    status = 400


class UnknownKeyError(RequestError):
    """The request has no API key, or one that the manifest in force gives to no customer."""

    code = 'unknown_key'
    status = 401
