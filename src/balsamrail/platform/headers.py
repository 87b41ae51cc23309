"""Names of HTTP headers and cookies of the platform's callers, targets and store."""

REQUEST_ID = 'X-Request-Id'
TIMEOUT_MS = 'X-Timeout-Ms'
AFFINITY_COOKIE = 'X-Affinity-Key'
SIGNATURE = 'X-Response-Signature'
EXPECTED_TARGET = 'X-Target-Instance'
TARGET_LOAD = 'X-Server-Load'
NOT_EXECUTED = 'X-Not-Executed'
TARGET_ID = 'X-Instance-Id'
WARMUP_LEFT_MS = 'X-Warmup-Ms'
RETRY_AFTER = 'Retry-After'
# The caller's API key, in the scheme 'Bearer'; targets get the customer's name instead.
AUTHORIZATION = 'Authorization'
CUSTOMER = 'X-Tenant'
CHALLENGE = 'WWW-Authenticate'
# Between hosts: what one tells another of a request that it sends there, and of its outcome.
HANDOVER = 'Balsamrail-Handover'
# '1' in answers of a target that accepts no new requests and is about to stop.
SERVER_LEAVING = 'Server-Leaving'
# Requests per second, a decimal number, that a target in need takes from all hosts together.
SERVER_LIMIT = 'Server-Limit'
# Rises by one each time that the store comes back from an older copy.
STORE_ERA = 'Store-Era'
