Feature: Hosts that join later know which requests crash their targets

  Scenario Outline: <restarts>, after a request has crashed its targets
    Guards against hosts that forget such a request when they restart and send it to further targets
    (review/3).

    Given a fleet of 9 hosts that have seen a request crash 3 targets
    When <restarts>
    And 3 s pass
    Then every host refuses the request

    Examples:
      | restarts                                        |
      | every host restarts in turn                     |
      | every host restarts in turn, twice              |
      | hosts 0 to 3 restart at once and then the others |
      | all hosts restart at once                       |

  Scenario Outline: Requests crash targets while <hosts>
    Guards against a report that is lost for good since it was sent after two hosts had met and before one
    of them took the other for a neighbour.

    Given a fleet of <size> hosts
    When <hosts>, and at each of them, every 0.1 s for 4 s, another request crashes 3 targets
    And 4 s pass
    Then every host refuses each of these requests

    Examples:
      | size | hosts                     |
      | 3    | all hosts restart at once |
      | 9    | all hosts restart at once |
      | 9    | host 4 restarts           |
      | 72   | host 4 restarts           |

  Scenario: A host of the version before starts after a request has crashed its targets
    Guards against hosts that count crashes otherwise and miss the copies of reports for them.

    Given a fleet of 9 hosts that have seen a request crash 3 targets, and copies for the version before
    When host 4 restarts, and 3 s pass
    Then it has been told the copies on 3 targets

  Scenario: A host that was cut off while a request crashed its targets
    Guards against a host that misses the flood of the reports and keeps its incarnation.

    Given a fleet of 9 hosts
    When host 4 is cut off, a request crashes 3 targets, and the cut ends after 30 s
    And 10 s pass
    Then every host refuses the request

  Scenario: A host at which a target has completed the request since
    Guards against a request that is refused again because another host repeats outdated reports.

    Given a fleet of 9 hosts that have seen a request crash 3 targets
    When a target completes the request at host 4, which is then cut off for 30 s
    And 10 s pass
    Then host 4 accepts the request

  Scenario: The reports that are sent to a host that starts are bounded and not flooded again
    Guards against restarts that cost more than the control traffic allows while many requests crash
    targets.

    Given a fleet of 9 hosts that know 10000 requests that crashed 3 targets each
    When host 4 restarts
    And 3 s pass
    Then host 4 refuses the 1000 requests that were reported last
    And at most 9 times 3000 reports were sent to host 4, and by host 4 to each neighbour

  Scenario: A crash that has expired is not reported to hosts that start
    Guards against a request that is refused for good because hosts keep telling each other of it.

    Given a fleet of 9 hosts that have seen a request crash 3 targets
    When 610 s pass and every host restarts in turn
    Then no host refuses the request

  Scenario Outline: The store keeps refused requests while it is <store>
    Guards against hosts that lose a report, or do not start, because a call to the store failed.

    Given a fleet of 9 hosts whose store is <store> while a request crashes 3 targets
    When the store is available again, 3 s pass, and all hosts restart at once
    Then every host refuses the request
    And at most 3 hosts have written to the store

    Examples:
      | store     |
      | available |
      | down      |

  Scenario: The store answers late when all hosts restart at once
    Guards against a host that gives up reading the refused requests.

    Given a fleet of 9 hosts that have seen a request crash 3 targets
    When all hosts restart at once while the store is down for 5 s
    And 3 s pass
    Then every host refuses the request

  Scenario: Reports that have expired are removed from the store
    Guards against entries in the store that accumulate.

    Given a fleet of 9 hosts that have seen a request crash 3 targets
    When 610 s pass and every host restarts in turn
    Then no host refuses the request
    And the store keeps no reports

  Scenario: The entries of the platform's store
    Guards against reports that are read back otherwise than they were written, and against malformed
    entries of other writers that hide the others.

    When reports on two requests are written to the platform's store, beside malformed entries
    Then both are read back, and the malformed ones are logged
    And a request whose entry was listed can be removed, and one that has changed since stays
