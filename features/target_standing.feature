Feature: Targets get no requests while they are excluded

  Scenario Outline: A target that announces its shutdown in a response gets no more requests
    This guards against requests to a target that stops before it responds.

    Given a target that announces its shutdown in <answer> and one that responds
    When callers send 6 consecutive requests that prefer the first target
    Then the first target got 1 request and the other one the later ones
    And the log records once that the first target is leaving, and that it was skipped

    Examples:
      | answer                              |
      | a signed 200                        |
      | a 404 of its own                    |
      | a 500 of its own                    |
      | a refusal                           |
      | an answer without a signature       |
      | an answer to another request        |
      | an answer that is cut off           |
      | an interim answer                   |

  Scenario: Announcements of another target at the same address are ignored
    This guards against a target that gets no requests because another one is shutting down.

    Given a target that responds 421 with a shutdown and a refusal, and one that responds normally
    When callers send 3 consecutive requests that prefer the first target
    Then each target got 3 requests

  Scenario: A target that is shutting down completes its requests in flight
    This guards against aborting requests that the target would have completed.

    Given a slow target that announces its shutdown in a quick response, and one that responds
    When a slow request is in flight while a quick one is completed
    Then the slow request gets the first target's response

  Scenario Outline: A request that waits for a connection is rerouted if its target is excluded
    This guards against exclusions that are checked when a target is chosen, but not before the
    request is sent.

    Given two targets that respond, and connections that are slow to open
    When the first target <change> while a request waits for its connection
    Then the request gets the other target's response after one attempt
    And the log records that the attempt was ruled out as <reason>

    Examples:
      | change                           | reason    |
      | says that it leaves              | leaving   |
      | refuses for a time               | refusing  |
      | is draining in the store         | draining  |
      | is removed from the store        | gone      |
      | has started again under its id   | gone      |
      | is in a zone that is evacuated   | evacuated |
      | is found to be down              | down      |
      | becomes cold beyond its rate     | cold      |
      | names a limit of 0               | limited   |

  Scenario: Confining a route while a request waits excludes its target
    This guards against a request that leaves the regions in which it may be processed.

    Given a target in makedonia that was chosen for a route without allowed regions
    When the route is confined to attiki before the request is sent
    Then the target is ruled out as confined

  Scenario: A retry does not go to a target that is shutting down
    This guards against retries that ignore the exclusions that first attempts respect.

    Given a target that refuses, one that is shutting down and one that responds
    When a request prefers them in this order
    Then it gets the third target's response, and the second target gets no request

  Scenario: A target that is shutting down is not used as a fallback
    This guards against a request to a target that is shutting down if there is no other one.

    Given a target that announces its shutdown in a signed 200 and no other one
    When callers send 3 consecutive requests that prefer the first target
    Then the first target got 1 request and the others were rejected as no_target

  Scenario: The announcements of a target outlast its entry in the store
    This guards against a target that is used again when its entry is restored after an outage.

    Given a target that announces its shutdown in a signed 200 and one that responds
    When it has announced it, and its entry is removed and restored
    Then it gets no request until its entry is that of another incarnation

  Scenario: Draining targets are not counted among the targets of an object
    This guards against rejections while a target of the region has free slots.

    Given an object whose first two of four targets in the region are draining
    And whose third target is full
    When a request for it is placed
    Then the fourth target of the region is chosen

  Scenario Outline: A target that sends a Retry-After gets no requests until it expires
    This guards against retries that reach a target before its Retry-After expires.

    Given a target that responds 503 <mark> with a Retry-After of 0.6 s and one that responds
    When callers send requests that prefer the first target until it got 4
    Then the first target got 1 request within 0.6 s, and the others later
    And the log records once that the first target is refusing, and that it was skipped

    Examples:
      | mark                   |
      | without having run it  |
      | of its own             |

  Scenario Outline: A Retry-After that is not a valid duration is ignored
    This guards against a target that is excluded forever by an invalid value.

    Given a target that responds 503 with a Retry-After of "<value>"
    When callers send 3 consecutive requests that prefer the first target
    Then the first target got each of them, and the log records the value "<value>" each time

    Examples:
      | value                         |
      | -1                            |
      | inf                           |
      | nan                           |
      | 1e999                         |
      | soon                          |
      | Wed, 21 Oct 2026 07:28:00 GMT |

  Scenario Outline: A Retry-After in a refusal of another request is ignored
    This guards against a target that is excluded because it repeats an earlier refusal.

    Given a target that repeats a refusal with a Retry-After of 9 <mark> before each later response
    When callers send 3 consecutive requests that prefer the first target
    Then the first target got each of them, and it was never excluded

    Examples:
      | mark                   |
      | with the earlier id    |
      | without an id          |

  Scenario: When all targets refuse requests, callers are told at once when to retry
    This guards against callers that wait in vain for targets, and that all retry at once.

    Given two targets that respond 503 with a Retry-After of 4 s
    When 40 callers send requests after both have refused
    Then each is rejected long before 4 s, and told to retry after the refusal
    And the retry times are spread over 1 s

  Scenario Outline: No further health check follows a response with <word>
    This guards against health checks that occupy slots of a target that refuses requests.

    Given a target that is down and responds to health checks with <word>
    When its health is checked for 1 s after the first response
    Then it got 1 health check and no request

    Examples:
      | word              |
      | Server-Leaving    |
      | Retry-After of 9  |

  Scenario: No connections are opened to a target that refuses requests
    This guards against connections that occupy slots of a target that refuses requests.

    Given a target that completes one request after 1 s and refuses another with a Retry-After of 9
    When both are sent
    Then the first one is completed, and no further connection was opened

  Scenario: The dump and the metrics show why and since when a target is excluded
    This guards against a target that gets no requests for a reason that is not visible.

    Given targets that are leaving, refusing, down, draining and limited
    When the host's dump and metrics are read 2 s later
    Then each target's reason and its age of 2 s are shown

  Scenario: The availability of a target is consistent with its complete history
    This guards against an order of events in which one of them is lost.

    When responses, entries, outages and delays occur at a target in any order
    Then its exclusion is the one that follows from the complete history

  Scenario: No request is placed at an excluded target
    This guards against a code path by which a request reaches an excluded target.

    When responses, entries, restarts and outages occur at targets in any order
    Then no incarnation that is leaving, refusing, draining, down or gone is chosen or confirmed

  Scenario: The load of a target ramps up after a refusal
    This guards against all callers reaching a target at the instant when its refusal ends.

    Given a target of 10 slots that refused for 4 s
    When requests arrive as fast as the target accepts them
    Then it accepts none before 4 s, at most 1 at 4 s, at most 11 by 4.5 s, and 20 by 5 s
