Feature: Callers speak HTTP with a host

  Scenario Outline: Requests that the host itself answers; guards against closed connections without a reason
    When a caller sends <request> over HTTP
    Then the answer is a problem with status <status>, code <code> and outcome <outcome>

    Examples:
      | request                    | status | code             | outcome |
      | an unknown service         | 404    | unknown_service  | refused |
      | headers of 20 KB           | 431    | too_large        | refused |
      | a body of 9 MB             | 413    | too_large        | refused |
      | a chunked body of 9 MB     | 413    | too_large        | refused |
      | a body that stops          | 408    | bad_request      | refused |
      | a wrong deadline           | 400    | bad_request      | refused |
      | an unknown method          | 405    | bad_request      | refused |
      | an expired deadline        | 503    | deadline_expired | not_run |
      | a deadline of 100 ms       | 504    | outcome_unknown  | unknown |
      | a request to a dead target | 503    | no_target        | not_run |

  Scenario Outline: Answers that are passed on; guards against changed lengths, bodies and headers
    When a caller sends <request> over HTTP
    Then the answer has status <status>, length <length> and body "<body>"

    Examples:
      | request         | status | length | body    |
      | a GET           | 200    | 5      | GET /   |
      | a HEAD          | 200    | 5      |         |
      | a GET for 204   | 204    | none   |         |
      | a GET for 304   | 304    | none   |         |
      | a POST          | 200    | 6      | posted  |
      | a body of 8 MB  | 200    | 8388608 | the same |

  Scenario Outline: A caller that closes its connection; guards against lost bookings and wasted lookups
    When a caller sends a slow <method> over HTTP and closes its connection
    Then the upstream saw <count> cancelled requests

    Examples:
      | method | count |
      | GET    | 1     |
      | POST   | 0     |

  Scenario Outline: A fault inside the host; guards against an empty answer that looks complete
    When a caller sends a request to a host whose forwarder raises <error>
    Then the answer is a problem with status 504, code outcome_unknown and outcome unknown

    Examples:
      | error          |
      | CancelledError |
      | ValueError     |

  Scenario: Many callers at once; guards against answers that reach another caller
    When 120 callers send requests over kept connections while upstreams cut, delay and cross answers
    Then each caller gets its own complete answer or a problem

  Scenario: Open connections go silent while new ones work; guards against lookups that wait on them
    When a caller sends lookups while the kept connections go silent
    Then each lookup gets its answer within the deadline

  Scenario: A target that sheds; guards against a caller that comes back too early
    When a caller sends a request to targets that shed with Retry-After 7
    Then the answer is a problem with status 503, code overloaded and outcome not_run
    And the caller is asked to come back after 7 s

  Scenario: A key of another host; guards against two runs of a booking that is sent to two hosts
    When a caller sends the same keyed booking to two hosts
    Then both give the answer of the only run
