Feature: Requests are sent to targets until one responds

  Scenario: The complete response of the target reaches the caller
    Given targets that respond immediately
    When a caller sends a request
    Then it gets the target's response after one attempt

  Scenario: A request refused without execution is retried at another target
    Guards against callers that get a refusal although another target has capacity.

    Given a target that refuses without executing and one that responds
    When a caller sends a non-idempotent request
    Then it gets the target's response after two attempts at different targets

  Scenario: A request that may have run is not retried unless it is idempotent
    Guards against a request that runs twice.

    Given targets that drop the connection after the request
    When a caller sends a non-idempotent request
    Then it gets an error with an unknown outcome after one attempt

  Scenario: An idempotent request is retried
    Given a target that drops the connection after the request and one that responds
    When a caller sends an idempotent request
    Then it gets the target's response after two attempts at different targets

  Scenario: A refusal after a lost response leaves the outcome unknown
    Guards against reporting a request as not executed although its first attempt may have run.

    Given a target that drops the connection after the request and one that refuses without executing
    When a caller sends an idempotent request
    Then it gets an error with an unknown outcome after 2 attempts at different targets

  Scenario: The route limits the number of attempts
    Given targets that drop the connection after the request
    When a caller sends an idempotent request
    Then it gets an error with an unknown outcome after 3 attempts at different targets

  Scenario: The retry budget limits the number of attempts
    Guards against retries that multiply the load during an outage.

    Given targets that drop the connection after the request and an empty retry budget
    When a caller sends an idempotent request
    Then it gets an error with an unknown outcome after 1 attempts at different targets

  Scenario: A failed connection does not count as an attempt
    Given a target that refuses connections and one that responds
    When a caller sends a non-idempotent request
    Then it gets the target's response after one attempt
    And the next request does not try the target that refused

  Scenario: A caller with little time left takes no target down
    Guards against targets that are excluded because a request had no time to connect to them.

    Given targets that accept no connection for now
    When an idempotent request with a timeout of 0.1 s ends, and then one with a timeout of 2 s
    Then the first took no target down, and was refused within 0.3 s
    And the second took those down that it could not connect to

  Scenario: A response to another request is discarded
    Guards against taking a response for that to another request.

    Given a target that first responds with the id of another request
    When a caller sends a request
    Then it gets the target's response after one attempt

  Scenario: A late response never reaches the next request
    Given a target that responds after the first caller has disconnected
    When two callers send one request each, one after the other
    Then the second caller gets the response to its own request

  Scenario: Bytes after a response are not taken for the next response
    Given a target that sends its response twice
    When two callers send one request each, one after the other
    Then the second caller gets the response to its own request

  Scenario Outline: A refusal without an id on a reused connection is not that of the request sent last
    Guards against a repeated refusal that lets a request run twice, or be reported as not executed.

    Given a target that, on a reused connection, first writes <refusal>, then <then>, and one that responds
    When a caller sends a non-idempotent request behind another one on the same connection
    Then it gets <told> from the first target, and the other target gets no request

    Examples:
      | refusal                 | then               | told               |
      | 503 without an id       | its response       | the response       |
      | 429 without an id       | its response       | the response       |
      | 421 without an id       | its response       | the response       |
      | 503 of the earlier id   | its response       | the response       |
      | 503 without an id       | nothing            | an unknown outcome |
      | 503 without an id       | closes             | an unknown outcome |
      | 503 that ends           | nothing            | an unknown outcome |
      | 429 that promises nothing | its response     | the response       |

  Scenario: A refusal without an id on a new connection is believed
    Given a target that refuses without an id and one that responds
    When a caller sends a non-idempotent request
    Then it gets the target's response after two attempts at different targets

  Scenario: An unsigned response is not forwarded as a success
    Guards against corrupt bytes that reach a caller as a response.

    Given a target whose response is not signed and one that responds
    When a caller sends an idempotent request
    Then it gets the target's response after two attempts at different targets

  Scenario: A truncated response is not forwarded
    Given a target whose response is truncated and one that responds
    When a caller sends an idempotent request
    Then it gets the target's response after two attempts at different targets

  Scenario: A response without a length whose target falls silent is not forwarded as complete
    Guards against taking the end of a connection that this host closed for the end of the body.

    Given a target that stops within a body without a length, and one that responds
    When the machine of the first target loses power while it sends the body
    Then the caller gets the response of the other target

  Scenario Outline: A response <framing> to <method> that ends by <end> after each of its bytes
    Guards against a truncated head or body that reaches the caller as a whole response.

    Given a target that ends its response <framing> to <method> by <end> after each of its bytes
    When callers send non-idempotent requests until the response is whole
    Then each gets an unknown outcome until the bytes of <whole> have arrived

    Examples:
      | method | framing          | end   | whole        |
      | GET    | with a length    | close | the response |
      | GET    | with a length    | reset | the response |
      | GET    | with chunks      | close | the response |
      | GET    | with chunks      | reset | the response |
      | GET    | with an interim  | close | the response |
      | GET    | with bare feeds  | close | the response |
      | GET    | without a length | close | the head     |
      | GET    | without a length | reset | no response  |
      | HEAD   | with a length    | close | the head     |
      | HEAD   | with a length    | reset | the head     |

  Scenario Outline: A target in trouble responds with the status <status> on <connection>
    Guards against a status that is none in HTTP (RFC 9110 ends at 599) that reaches the caller as an
    answer, and against a request that is sent again though it may have run.

    Given a target that responds with the status <status>, on <connection>, and one that responds
    When callers send a non-idempotent and an idempotent request
    Then the first gets target_failed with an unknown outcome, the other one the response of the other target

    Examples:
      | status | connection      |
      | 000    | a new one       |
      | 000    | one used before |
      | 099    | a new one       |
      | 600    | a new one       |
      | 600    | one used before |
      | 999    | a new one       |
      | 1000   | a new one       |

  Scenario: The caller gets a response within its timeout
    Guards against callers that wait longer than the timeout that they sent.

    Given targets that never respond
    When a caller with a timeout of 0.3 s sends a request
    Then it gets an error with an unknown outcome within 0.45 s

  Scenario: An idempotent request is cancelled when its caller disconnects
    Guards against targets that execute requests without a waiting caller.

    Given targets that never respond
    When a caller disconnects after an idempotent request
    Then the target sees its connection closed

  Scenario: A non-idempotent request continues when its caller disconnects
    Given a target that responds after 0.2 s
    When a caller disconnects after a non-idempotent request
    Then the target's response is still received

  Scenario: The request names its target and the remaining time
    Given targets that respond immediately
    When a caller with a timeout of 0.8 s sends a request
    Then the request names the target and a remaining time of at most 0.8 s

  Scenario: A target whose machine has failed is detected while requests are in flight
    Guards against sending requests for seconds to a machine that has lost power.

    Given a target whose machine lost power and one that responds
    When callers send idempotent requests for 2 s
    Then each gets the response of the other target within 1.2 s
    And the unresponsive target is marked as down

  Scenario: A slow target is not marked as down
    Guards against taking a healthy target out of use because of one slow request.

    Given a target that responds after 0.9 s
    When a caller sends a request
    Then it gets the target's response after one attempt

  Scenario: A request that crashes its targets is quarantined
    Guards against one request that crashes one target after another.

    Given targets that crash on requests for the path /read/deadly
    When callers send such requests repeatedly with new ids, and others send other requests
    Then the request reaches 3 targets and is then refused with a retry delay
    And the other requests are served by the remaining targets

  Scenario Outline: A request that crashes its targets, on a route that is <routed>
    Guards against counting the crashes of one request apart for each service of its route (review/4).

    Given targets of three services that crash on requests for the path /read/deadly
    When callers send such requests repeatedly on a route that is <routed>, and others send other requests
    Then the request reaches 3 targets and is then refused with a retry delay
    And the other requests are served by the remaining targets

    Examples:
      | routed                                   |
      | split between the services               |
      | moved to another service after two sends |

  Scenario Outline: Crashes that a host of <version> has reported under <fingerprint>
    Guards against hosts of two versions, side by side, that do not count each other's reports, and
    against counting the same crash twice.

    Given targets that respond immediately
    When a host of <version> reports 3 crashes of a request under <fingerprint>
    Then that request is <handled>

    Examples:
      | version             | fingerprint                          | handled |
      | an earlier version  | the service of its route             | refused |
      | an earlier version  | another service                      | served  |
      | an earlier version  | two services of its split route      | refused |
      | this version        | its own fingerprint                  | refused |
      | this version        | the copy for earlier versions        | served  |

  Scenario Outline: A target that a request crashes <times> times, and that starts again under <identity>
    Guards against a request that crashes one target again and again, since only other targets count
    (review/2).

    Given targets that respond immediately
    When a request crashes a target <times> times, which starts again under <identity>
    Then that request is <handled>

    Examples:
      | times | identity                          | handled |
      | 3     | its id with another time of birth | refused |
      | 2     | its id with another time of birth | served  |
      | 3     | its id and is not noticed to      | served  |

  Scenario: A crash is reported to hosts of earlier versions under the service as well
    Guards against hosts of earlier versions that hear of no crashes while the fleet is replaced.

    Given targets that crash on requests for the path /read/deadly
    When a caller sends such a request
    Then its crash is reported once under the request and once under its service

  Scenario: The same request of two callers
    Guards against refusing a caller for what the same request of another caller did.

    Then requests differ in host name, method, path, body and Authorization, and in nothing else

  Scenario: A frequent request is not quarantined for unrelated crashes
    Guards against refusing a request because its targets failed for another reason.

    Given targets that respond and of which one after another fails
    When callers send the same request while four of five targets fail
    Then the request still gets a response

  Scenario Outline: A host that is about to end sends no request that may end after it
    Guards against requests that are cut at their target when the host ends.

    Given a target that is <state>, and one that responds
    When the host begins to end within <end_s> s while <kind> request with a timeout of 2 s waits
    Then it gets <told>, and the other target gets no request

    Examples:
      | state                    | kind             | end_s | told                         |
      | slow to accept           | a non-idempotent | 1     | a rejection with no delay    |
      | slow to accept           | an idempotent    | 1     | a rejection with no delay    |
      | slow to accept           | a non-idempotent | 3     | the first target's response  |
      | slow to refuse           | a non-idempotent | 1     | a rejection with no delay    |
      | slow to refuse           | an idempotent    | 1     | a rejection with no delay    |
      | slow to drop connections | an idempotent    | 1     | an unknown outcome           |

  Scenario: The log shows the inputs of the target selection
    Guards against a misrouted request whose cause cannot be found in the logs.

    Given a route restricted to attiki and targets that respond immediately
    When a caller sends a request
    Then the log shows the manifest, the allowed regions, and the region, utilisation and load report of the target
    And the log shows how many routes of the manifest are restricted to which regions

  Scenario: A retry uses the allowed regions of the manifest in force
    Guards against retrying a request in the regions of a manifest that has been replaced.

    Given a route restricted to attiki, targets there that drop connections and one in makedonia that responds
    When the manifest restricts the route to makedonia while a request is at its first target
    Then the caller gets the response of the target in makedonia after one attempt in attiki

  Scenario: A request that waits for a connection uses the service of the manifest in force
    Guards against sending a request to the service of a manifest that has been replaced.

    Given targets that accept no connections and a target of another service that responds
    When the manifest moves the route to the other service while a request waits for a connection
    Then the caller gets the response of the other service

  Scenario: A request keeps the allowed regions of its route when a shorter prefix replaces the route
    Guards against a retry outside the allowed regions of the request's route.

    Given a route restricted to attiki, targets there that drop connections and one in makedonia that responds
    When the manifest drops the route and keeps a shorter prefix without allowed regions
    Then the request reaches no target in makedonia

  Scenario: An idle connection to the old address of a target is not reused
    Guards against requests that reach another target than the selected one.

    Given targets that respond immediately
    When a target restarts with the same id at another address
    Then the next request reaches the new address
