Feature: A host that reaches no target sends requests through other hosts

  Scenario Outline: The outcome of a request is known as exactly as without a second host
    Guards against work that runs twice, or is called not run and has run, across two hosts.

    Given a host that reaches no target, and two peers of which the first <failure>
    When one caller sends <kind> request with a timeout of 1 s
    Then the caller gets <outcome>, and the peers got <requests> requests

    Examples:
      | failure                               | kind             | outcome            | requests |
      | accepts no connection                 | an idempotent    | the whole response | 0 1      |
      | accepts no connection                 | a non-idempotent | the whole response | 0 1      |
      | closes the connection                 | an idempotent    | the whole response | 1 1      |
      | closes the connection                 | a non-idempotent | target_failed      | 1 0      |
      | breaks off its response               | an idempotent    | the whole response | 1 1      |
      | breaks off its response               | a non-idempotent | target_failed      | 1 0      |
      | answers another request               | an idempotent    | the whole response | 1 1      |
      | answers another request               | a non-idempotent | target_failed      | 1 0      |
      | got no response from its target       | an idempotent    | the whole response | 1 1      |
      | got no response from its target       | a non-idempotent | outcome_unknown    | 1 0      |
      | answers without an outcome            | a non-idempotent | target_failed      | 1 0      |
      | answers as a target would             | a non-idempotent | target_failed      | 1 0      |
      | speaks another protocol               | a non-idempotent | target_failed      | 1 0      |
      | reaches no target                     | a non-idempotent | the whole response | 1 1      |
      | knows no such route                   | an idempotent    | the whole response | 1 1      |
      | has no room                           | a non-idempotent | overloaded         | 1 0      |
      | says nothing                          | a non-idempotent | outcome_unknown    | 1 0      |
      | passes on the status 000              | a non-idempotent | target_failed      | 1 0      |
      | passes on the status 600              | a non-idempotent | target_failed      | 1 0      |
      | passes on the status 999              | an idempotent    | the whole response | 1 1      |

  Scenario Outline: A target announces <what> in a response that another host passes on
    Guards against requests to targets whose announcements this host has passed on to callers without
    noting them (review/5).

    Given a host that reaches no target, and a peer whose target announces <what>
    When one caller sends an idempotent request with a timeout of 1 s
    Then this host <notes> that of the target that responded, and of no other

    Examples:
      | what                    | notes    |
      | that it leaves          | notes    |
      | a limit                 | notes    |
      | a refusal for a time    | ignores  |

  Scenario: A request that no peer serves is refused at once
    Guards against callers that wait although the request is known not to be served.

    Given a host that reaches no target, and two peers that reach none either
    When one caller sends a non-idempotent request with a timeout of 1 s
    Then the caller gets no_target, and the peers got 1 1 requests
    And it took less than half of the timeout

  Scenario: A host without paths and peers refuses requests at once
    Guards against callers that wait while a host tries targets that it cannot reach, one by one.

    Given a host whose 12 targets accept no connection, and that has no peers
    When its paths have been lost for 0.6 s and a caller sends a request
    Then that is refused within 0.2 s, and the caller is told to come back after 0.5 to 1 s

  Scenario: Attempts are counted over both hosts
    Guards against more attempts than a route allows, half of them made by another host.

    Given a host that reaches no target, and two peers of which the first fails after 2 attempts
    When one caller sends an idempotent request with a timeout of 1 s
    Then the peers were allowed 2 and 1 attempts, and the second is told the targets of the first

  Scenario: The time that is left is counted over both hosts
    Guards against targets that are handed more time than the caller has.

    Given a host that reaches no target, and two peers of which the first fails after 0.3 s
    When one caller sends an idempotent request with a timeout of 1 s
    Then the second peer is told at most 0.7 s

  Scenario: A request goes through one host only
    Guards against requests that hosts without paths send to each other in a ring.

    Given a host that reaches no target, and two peers of which the first says nothing
    When another host sends it a request
    Then it refuses that request at once, and the peers got 0 0 requests

  Scenario: A host takes a limited number of requests of other hosts
    Guards against callers who are not served because their host works for other hosts.

    Given a host whose targets respond after 0.5 s
    When other hosts send it 200 requests at once, and a caller one
    Then it takes 128 of these requests, refuses the others at once, and serves the caller

  Scenario: A confined request stays in its regions
    Guards against requests that leave the regions to which their route is confined (HOME).

    Given hosts in three regions
    When a host of attiki without paths selects others for requests confined to some regions
    Then each is in one of these, and there is none for a region without hosts

  Scenario: Hosts are selected near, serving and with paths
    Guards against requests sent to hosts that are leaving, starting, suspected or without paths.

    Given hosts of which some are degraded, suspected, starting, leaving, or refused just now
    When a host without paths selects others for requests
    Then only hosts that serve are selected, those of its zone first and then those of its region

  Scenario Outline: A caller that leaves
    Guards against work for callers that have left, at two hosts (GONE).

    Given a host that reaches no target, and two peers of which the first says nothing
    When the caller of <kind> request leaves after 0.2 s
    Then the connection to the peer is <state> 0.3 s later

    Examples:
      | kind             | state  |
      | an idempotent    | closed |
      | a non-idempotent | open   |

  Scenario: Three requests at a peer overlap, and the peer is suspected
    Guards against an idempotent request that waits until its deadline at a host that has died, since
    a non-idempotent one that was sent before it has ended.

    Given a host that reaches no target, and two peers of which the first is slow to respond
    When an idempotent request, a non-idempotent one and another idempotent one overlap at the first peer
    And the first peer is suspected when the first two have ended
    Then the third request is served by the other peer within 0.3 s

  Scenario: A peer that is suspected of a failure holds up no request
    Guards against requests that wait until their deadline at a host that has died.

    Given a host that reaches no target, and two peers of which the first says nothing
    When the first peer is suspected 0.2 s after an idempotent request was sent to it
    Then the caller gets the whole response, and the peers got 1 1 requests

  Scenario: A caller's connection cannot pass for one of another host
    Guards against callers that set the header between hosts.

    Given a fleet of two hosts
    When a request with a valid header between hosts comes over a caller's connection and over a peer's
    Then only the second is one of another host
    And connections to the peer address that send nothing, rubbish or parts of a request do no harm

  Scenario Outline: What callers send cannot pass for a request of another host
    Guards against bad input in the header between hosts, and against its way to targets.

    Given a host whose targets respond immediately
    When the handover header of a request is <header>
    Then the request is served as that of a caller, and no target gets the header

    Examples:
      | header                                  |
      | origin=                                 |
      | attempts=1                              |
      | origin=x attempts=-1                    |
      | origin=x attempts=99999999999           |
      | origin=x attempts=1.5 tried=i-0         |
      | \x00\xff == ,,, %%% origin=%zz attempts |

  Scenario: The messages between hosts survive any names
    When any target ids and host names are sent between hosts and back
    Then each arrives as it was

  Scenario Outline: Callers of cut hosts find a host at any size of the fleet
    Guards against peers that are overrun, or callers who find no host, in large fleets (RECOVER).

    Given a fleet of <hosts> hosts in 3 regions
    When <cut> of them lose their paths and each sends 40 requests through others
    Then each finds one, in its region if any is left there
    And no host near them gets more than 3 times its part

    Examples:
      | hosts | cut                    |
      | 9     | one                    |
      | 9     | a zone                 |
      | 9     | two thirds of a region |
      | 72    | one                    |
      | 72    | a zone                 |
      | 72    | two thirds of a region |
      | 195   | a rack of 8            |
      | 195   | a zone                 |
      | 195   | two thirds of a region |
      | 920   | a rack of 8            |
      | 920   | a zone                 |
      | 920   | two thirds of a region |

  Scenario Outline: The loss of paths is told from failures of targets
    Guards against hosts that give up their own paths because targets are down, or the reverse.

    Given a host that follows the state of its paths
    When <events>
    Then the paths <state>

    Examples:
      | events                                          | state        |
      | 2 targets fail                                  | are not lost |
      | 3 targets fail                                  | are lost     |
      | 3 targets fail, and another responds in between | are not lost |
      | 1 target fails 5 times                          | are not lost |
      | 1 target fails 6 times                          | are lost     |
      | 20 targets fail while others respond            | are not lost |
      | 3 targets fail, and then one responds           | are not lost |

  Scenario: Responses that end early are no loss of paths
    Guards against hosts that take their own aborts of large responses for lost paths.

    Given a host whose targets break off their responses 0.2 s after the head
    When 6 non-idempotent requests are sent at once
    Then its paths are not lost, and no target is down

  Scenario: Targets that were lost with the paths are warm and used at once afterwards
    Guards against refusals after a cut, by hosts that take all targets for restarted (RECOVER).

    Given a host that has lost its paths to targets that respond again
    When the health checks of the host run for 1.5 s
    Then all targets are used again, and none of them is cold

  Scenario Outline: The return of the paths is noticed soon, whenever it comes
    Guards against seconds without a health check while all of them wait over lost paths, and callers
    that are refused until the next one (RECOVER).

    Given 12 hosts with <targets> targets each, all of which say nothing
    When the health checks of the hosts run, and their targets respond again after 2.4 s to 4 s
    Then each host uses all its targets again within 0.6 s

    Examples:
      | targets |
      | 3       |
      | 6       |

  Scenario: A check over lost paths proves nothing once they have returned
    Guards against targets that are taken for down by checks that were sent during a cut (RECOVER).

    Given a host of whose six targets three are down, and the others say nothing for a time
    When the health checks of the host run, and all targets respond again after 0.9 s
    Then from then on no target is taken for down

  Scenario: A host whose paths seem to be lost by mistake finds out
    Guards against hosts that send all requests through others for good since three targets are down.

    Given a host of whose six targets three are down, and that has few requests
    When the health checks of the host run for 1.5 s
    Then its paths are not lost, and three targets are down

  Scenario: Look-ups prefer hosts that reach targets
    Guards against callers that are sent to hosts without paths, and against hosts that are overrun.

    Given hosts of which some are degraded
    When callers look up hosts
    Then they get the others of the zone, or of the region, if these are at least half of them
