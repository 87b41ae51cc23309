"""The exception hierarchy of balsamrail.

Every error derives from :class:`BalsamrailError` and has a stable ``code``, which also appears in
logs, in problem responses to callers and in the exit messages of the command line.
"""

from balsamrail.errors.balsamrail_error import BalsamrailError
from balsamrail.errors.connection_errors import (
    AnswerCutOffError,
    ConnectError,
    ExchangeError,
    PeerError,
    TargetExcludedError,
    UnsolicitedDataError,
)
from balsamrail.errors.document_errors import DocumentError, EntryError
from balsamrail.errors.not_run_errors import (
    CallerMemoryError,
    DeadlineExpiredError,
    HostLeavingError,
    ManifestUnconfirmedError,
    NoTargetError,
    NotReadyError,
    NotRunError,
    OverloadedError,
    PathsLostError,
    ProxyBusyError,
    QuarantinedError,
    QuotaExceededError,
    UnknownCustomerError,
)
from balsamrail.errors.outcome_unknown_errors import (
    AnswerDroppedError,
    KeyClaimError,
    KeyNotReadyError,
    OutcomeUnknownError,
    TargetFailedError,
)
from balsamrail.errors.refusal_errors import (
    BadRequestError,
    BodyTimeoutError,
    HeadersTooLargeError,
    KeyInvalidError,
    TargetCrashingRequestError,
    TooLargeError,
    UnknownKeyError,
    UnknownRouteError,
    UnknownServiceError,
)
from balsamrail.errors.request_error import RequestError
from balsamrail.errors.store_errors import (
    HistoryGoneError,
    StoreConflictError,
    StoreError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)

__all__ = (
    'AnswerCutOffError',
    'AnswerDroppedError',
    'BadRequestError',
    'BalsamrailError',
    'BodyTimeoutError',
    'CallerMemoryError',
    'ConnectError',
    'DeadlineExpiredError',
    'DocumentError',
    'EntryError',
    'ExchangeError',
    'HeadersTooLargeError',
    'HistoryGoneError',
    'HostLeavingError',
    'KeyClaimError',
    'KeyInvalidError',
    'KeyNotReadyError',
    'ManifestUnconfirmedError',
    'NoTargetError',
    'NotReadyError',
    'NotRunError',
    'OutcomeUnknownError',
    'OverloadedError',
    'PathsLostError',
    'PeerError',
    'ProxyBusyError',
    'QuarantinedError',
    'QuotaExceededError',
    'RequestError',
    'StoreConflictError',
    'StoreError',
    'StoreOutcomeUnknownError',
    'StoreUnavailableError',
    'TargetCrashingRequestError',
    'TargetExcludedError',
    'TargetFailedError',
    'TooLargeError',
    'UnknownCustomerError',
    'UnknownKeyError',
    'UnknownRouteError',
    'UnknownServiceError',
    'UnsolicitedDataError',
)
