Feature: Errors state whether a request ran, and keyed requests run at most once

  Scenario Outline: One request; guards against "not run" for a request that may have run, and against a second run
    Given a host with 3 targets whose attempts end with <attempts>
    When a caller sends <request>
    Then the caller receives <told>
    And <sent> attempts were made
    And no failed target was tried again

    Examples: states of the key table, with and without a key
      | request    | attempts          | told             | sent |
      | keyed POST | ok                | done             | 1    |
      | keyed POST | refuse ok         | done             | 2    |
      | keyed POST | refuse            | no_target        | 3    |
      | keyed POST | shed ok           | done             | 2    |
      | keyed POST | shed              | overloaded       | 3    |
      | keyed POST | cut ok            | outcome_unknown  | 1    |
      | keyed POST | shed cut ok       | outcome_unknown  | 2    |
      | keyed POST | hang ok           | outcome_unknown  | 1    |
      | POST       | cut ok            | outcome_unknown  | 1    |
      | POST       | refuse ok         | done             | 2    |
      | POST       | stale ok          | outcome_unknown  | 1    |
      | GET        | cut ok            | done             | 2    |
      | GET        | stale ok          | done             | 2    |
      | GET        | cut refuse        | outcome_unknown  | 3    |
      | GET        | hang              | outcome_unknown  | 1    |
      | GET        | late-connect      | deadline_expired | 1    |

  Scenario Outline: A resend; guards against a second run of a key
    Given a host with 3 targets whose attempts end with <attempts>
    When a caller sends keyed POST
    And meanwhile <meanwhile>
    And a caller sends <resend>
    Then the caller receives <told>
    And <sent> attempts were made

    Examples:
      | attempts  | meanwhile                          | resend                | told            | sent |
      | ok        | nothing happens                    | keyed POST            | done            | 1    |
      | cut ok    | nothing happens                    | keyed POST            | outcome_unknown | 1    |
      | shed shed shed ok | nothing happens            | keyed POST            | done            | 4    |
      | ok        | the key expires                    | keyed POST            | outcome_unknown | 1    |
      | ok        | the kept answers exceed their limit | keyed POST           | answer_dropped  | 3    |
      | ok        | nothing happens                    | keyed POST of another body | key_invalid | 1    |
      | ok        | the table is full                  | other keyed POST      | overloaded      | 3    |
      | ok        | the router has no share            | other keyed POST      | overloaded      | 1    |
      | ok        | the host is leaving                | other keyed POST      | host_leaving    | 1    |
      | ok        | the host is leaving                | keyed POST            | done            | 1    |
      | ok        | the router has no share            | keyed POST            | done            | 1    |
      | ok        | nothing happens                    | keyed POST after its deadline | done    | 1    |

  Scenario Outline: Key ownership; guards against two hosts that run the same key
    Given a host with 3 targets whose attempts end with ok
    When a caller sends <request>
    Then the caller receives <told>
    And <sent> attempts were made
    And <passed> requests were forwarded to another host

    Examples:
      | request                                | told              | sent | passed |
      | POST for a live host                   | done              | 0    | 1      |
      | POST for a live host that does not answer | outcome_unknown | 0    | 1      |
      | POST for an earlier incarnation        | outcome_unknown   | 0    | 0      |
      | POST for an earlier incarnation of this host | outcome_unknown | 0 | 0      |
      | POST for an unknown host               | outcome_unknown   | 0    | 0      |
      | passed on POST for a live host         | outcome_unknown   | 0    | 0      |
      | POST with an own key                   | store_unavailable | 0    | 0      |
      | POST with an own key claimed here      | done              | 1    | 0      |
      | POST with an own key, then the store fails | done          | 1    | 0      |
      | POST with an own key claimed elsewhere | done              | 0    | 1      |
      | POST with a key that lasts too long    | key_invalid       | 0    | 0      |
      | POST with an empty key                 | key_invalid       | 0    | 0      |
      | POST with dot segments                 | bad_request       | 0    | 0      |
      | POST with an escaped lookup path       | done              | 1    | 0      |
      | POST to an unknown service             | unknown_service   | 0    | 0      |

  Scenario Outline: A caller that disconnects; guards against lost bookings and wasted lookups
    Given a host with 3 targets whose attempts end with slow
    When a caller sends <request> and disconnects
    Then the upstream attempt is <state>

    Examples:
      | request    | state     |
      | GET        | cancelled |
      | POST       | finished  |
      | keyed POST | finished  |

  Scenario Outline: Connection reuse; guards against bookings on a connection that the upstream may be closing
    Given a host with 3 targets whose attempts end with <attempts>
    When a caller sends <request>
    Then the attempts request <connections> connections

    Examples:
      | request    | attempts    | connections     |
      | GET        | ok          | any             |
      | POST       | refuse ok   | fresh fresh     |
      | keyed POST | ok          | fresh           |
      | GET        | stale ok    | any fresh       |

  Scenario: Many failing lookups; guards against retries that multiply load
    Given a host with 3 targets whose attempts end with cut
    When 200 callers send GET one after another
    Then at most 250 attempts were made

  Scenario: Headers; guards against forwarded hop-by-hop headers
    Given a host with 3 targets whose attempts end with ok
    When a caller sends GET with hop-by-hop headers
    Then neither side receives a hop-by-hop header
    And the attempt has its own id, the remaining time and the caller's key

  Scenario Outline: Interleavings; guards against races between resends, failures and callers that disconnect
    Then no interleaving of <kind> violates a guarantee

    Examples:
      | kind                 |
      | calls with few keys  |
      | calls on a tiny host |

  Scenario: A key that expires during its run; guards against cached bytes that are never released
    Then a key that expires during its run leaves no record behind

  Scenario: A request that crashes targets; guards against the loss of all targets to one request
    Given a host with 3 targets whose attempts end with crash
    When a caller sends GET
    Then the caller receives crashes_targets
    And 2 attempts were made
    And the crashes are reported to all hosts
    And the request is refused for 10 minutes on every host

  Scenario: Two suspects; guards against a request that is blamed for the crashes of another
    Then two suspects do not run on the same target
