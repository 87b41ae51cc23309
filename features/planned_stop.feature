Feature: A planned stop cuts off no request

  Scenario: SIGTERM arrives while a slow request is in flight
    Guards against a restart that cuts off answers or refuses callers with older look-ups.
    Given a running node whose look-up time to live is 0.3 s
    When SIGTERM arrives 0.1 s after a request that takes 0.8 s
    Then the request is answered completely
    And a new request 0.2 s after the signal is answered with "Connection: close"
    And the members and the platform's list were told before the time to live passed
    And new requests were refused only after the time to live
    And the node ends with 0 requests cut off after the answer

  Scenario: SIGTERM arrives while the body of a request is being read
    Guards against counting a request only once its body is complete.
    Given a running node whose look-up time to live is 0.3 s
    When SIGTERM arrives while a body takes 0.8 s to arrive
    Then the request is answered completely

  Scenario: SIGTERM arrives while a caller reads a large answer slowly
    Guards against closing connections with answers that are not written yet.
    Given a running node whose look-up time to live is 0.3 s
    When SIGTERM arrives while a caller takes 0.8 s to read 16000000 bytes
    Then the caller received every byte

  Scenario: A part fails again and again
    Guards against a host that stops serving because one of its parts has a fault.
    Given a running node whose look-up time to live is 0.3 s
    Then the part that raises at once is started again and the operator pages show it
