Feature: Callers may send requests before earlier ones are answered

  Scenario: Responses have the order of the requests
    Guards against a response that reaches the caller of another request.

    When one connection carries requests that take 0.3 s, 0 s and 0.1 s at once
    Then it gets their responses in that order

  Scenario: The time budget runs while a request waits behind another one
    Guards against targets that get more time than the caller has left.

    When one connection carries a request that takes 0.5 s, and two more 0.2 s and 0.4 s later
    Then each counts from the part that ends its headers, the 1., 2. and 3.
    And they are handled one after the other

  Scenario: A request that arrives in parts counts from the end of its headers
    Guards against arrival times of the wrong request when several parts are buffered.

    When one connection carries a request that takes 0.3 s, and parts of two more 0.1 s and 0.2 s later
    Then each counts from the part that ends its headers, the 1., 3. and 3.

  Scenario: A caller leaves with several requests behind the first
    Guards against targets that work for a caller that has left.

    When one connection carries 4 requests that take 2 s each and is closed after 0.1 s
    Then the first is cancelled within 0.5 s and none of the others is handled
    And no request counts as in flight

  Scenario: Requests behind a response that closes the connection are not handled
    Guards against a request that has run although the caller sends it again.

    When a host begins to stop while a caller waits with 3 requests behind the first
    Then the caller gets one complete response that closes the connection
    And none of the others is handled

  Scenario: Requests behind one that is too large are not handled
    Guards against bytes of a rejected body that are taken for requests.

    When one connection carries a body above the limit with a request behind it
    Then it gets the status 413 on a connection that closes, and nothing is handled

  Scenario: The bytes behind a request in progress are bounded
    Guards against memory that one connection can fill.

    When one connection carries 1 MB of requests behind one that takes 0.5 s
    Then at most 200 kB of them are buffered while it is in progress
    And all of them are answered

  Scenario: Idempotent requests of one connection run at the same time
    Guards against lookups that wait for the runs of those before them, until they are too late.

    When one connection carries idempotent requests that take 0.4, 0.2, 0.0 s at once
    Then it gets their responses in that order
    And they end in the order r-2, r-1, r-0

  Scenario: A request that is not idempotent waits for those before it, and those behind wait for it
    Guards against a request that runs although the caller never got the response before it.

    When one connection carries a request that is not idempotent between idempotent ones
    Then it gets their responses in that order
    And they end in the order r-0, r-1, r-2

  Scenario: A caller leaves while several of its requests run
    Guards against targets that work for a caller that has left, and against one connection that
    takes a host for itself.

    When a caller with 20 idempotent requests in progress leaves
    Then 8 of them have begun, all these are cancelled and none counts as in flight

  Scenario: Requests that run when a host begins to stop are answered
    Guards against responses that are lost in a planned stop because an earlier one closed their
    connection.

    When a host begins to stop while idempotent requests of one connection run
    Then all are answered, and only the last response closes the connection
