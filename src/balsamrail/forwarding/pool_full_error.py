"""No further connection may be opened to a target."""

from balsamrail.forwarding.attempt_error import AttemptError


class PoolFullError(AttemptError):
    """All connections that this host may have to a target are in use."""

    code = 'pool_full'
