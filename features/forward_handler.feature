Feature: Callers send requests to a host over HTTP

  Scenario Outline: Requests that are not forwarded; guards against connections closed without a response
    When a caller sends <request> over HTTP
    Then the response is a problem with status <status>, code <code> and outcome <outcome>

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

  Scenario Outline: Forwarded responses; guards against changed lengths, bodies and headers
    When a caller sends <request> over HTTP
    Then the response has status <status>, length <length> and body "<body>"

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

  Scenario Outline: An internal error of the host; guards against an empty response that looks complete
    When a caller sends a request to a host whose forwarder raises <error>
    Then the response is a problem with status 504, code outcome_unknown and outcome unknown

    Examples:
      | error          |
      | CancelledError |
      | ValueError     |

  Scenario: Many callers at once; guards against responses that reach another caller
    When 120 callers send requests over keep-alive connections while upstreams truncate, delay and swap responses
    Then each caller gets its own complete response or a problem

  Scenario: Idle connections hang while new ones work; guards against lookups that wait for them
    When a caller sends lookups while the idle connections hang
    Then each lookup gets its response within the deadline

  Scenario: A target that sheds; guards against a caller that retries too early
    When a caller sends a request to targets that shed with Retry-After 7
    Then the response is a problem with status 503, code overloaded and outcome not_run
    And the caller is told to retry after 7 s

  Scenario Outline: A refusal that is repeated on a reused connection; guards against a booking that runs twice
    When two bookings reach a service that <echoes> ids and whose first target repeats <refusal> before each later response
    Then the second booking ends with status <status> and runs at most once

    Examples:
      | echoes        | refusal              | status |
      | does not echo | a refusal without id | 200    |
      | echoes        | a refusal without id | 504    |
      | echoes        | an earlier refusal   | 504    |

  Scenario: A key of another host; guards against two runs of a booking that is sent to two hosts
    When a caller sends the same keyed booking to two hosts
    Then both return the response of the single run
