"""The limit on connections to a target is reached."""

from balsamrail.forwarding.attempt_error import AttemptError


class PoolFullError(AttemptError):
    """All connections that this host may open to a target are in use."""

    code = 'pool_full'
