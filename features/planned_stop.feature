Feature: Graceful shutdown does not interrupt requests

  Scenario: SIGTERM arrives while a slow request is in flight
    Guards against a restart that truncates responses or rejects callers that use older lookup
    responses.
    Given a running node whose lookup TTL is 0.3 s
    When SIGTERM arrives 0.1 s after a request that takes 0.8 s
    Then the request gets a complete response
    And the response to a new request 0.2 s after the signal has "Connection: close"
    And the members and the platform's host list were notified before the TTL expired
    And new requests were rejected only after the TTL expired
    And the node terminates after the response with 0 interrupted requests

  Scenario: SIGTERM arrives while the body of a request is being read
    Guards against counting a request only after its body has been read.
    Given a running node whose lookup TTL is 0.3 s
    When SIGTERM arrives while a body takes 0.8 s to arrive
    Then the request gets a complete response

  Scenario: SIGTERM arrives while a caller reads a large response slowly
    Guards against closing connections whose responses have not been written completely.
    Given a running node whose lookup TTL is 0.3 s
    When SIGTERM arrives while a caller takes 0.8 s to read 16000000 bytes
    Then the caller received every byte

  Scenario: A component fails repeatedly
    Guards against a host that stops serving because one of its components fails.
    Given a running node whose lookup TTL is 0.3 s
    Then the component that raises immediately is restarted and the operator pages show it
