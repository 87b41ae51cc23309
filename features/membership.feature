Feature: Hosts agree on the members of the fleet without a coordinator

  Scenario: Message loss alone removes no host
    # Guards against a failure detector that takes a few lost heartbeats for a crash.
    Given a fleet of 60 hosts that loses 5% of messages
    When 60 s pass
    Then no host was ever gone

  Scenario Outline: A failed host is gone everywhere within a bound
    # Guards against failures that are detected late or only by the neighbours.
    Given a fleet of 30 hosts that loses 5% of messages
    When 5 s pass
    And host 7 <dies>
    Then host 7 is gone everywhere within 13 s

    Examples:
      | dies          |
      | dies          |
      | loses power   |

  Scenario: A paused host refutes on resuming and removes no other host
    # Guards against a resumed host that stays removed, or that attributes its own pause to others.
    Given a fleet of 30 hosts
    When 5 s pass
    And host 7 suspects host 8, as does another observer, and is paused for 40 s
    Then host 7 was gone during the pause
    And every host is alive everywhere within 1 s
    And only host 7 was ever gone

  Scenario: A restarted host finds the fleet at once
    # Guards against a host that rejects its callers until its first heartbeat.
    Given a fleet of 30 hosts
    When 5 s pass
    And hosts 7, 8 and 9 restart with a seed
    Then each of them knows 30 hosts 0.2 s later

  Scenario: Lookups return a restarted host once it can serve
    # Guards against lookups that return a host which does not know yet what it serves.
    Given a fleet of 12 hosts
    When 5 s pass
    And host 7 restarts and is not ready
    And 3 s pass
    Then host 7 is starting everywhere and in no lookup
    When host 7 is ready
    Then lookups on all hosts return host 7 within 1 s
    When host 8 restarts, knows the table and receives only the Hello of host 7
    Then lookups on host 8 return host 7

  Scenario: Announcements take half of the messages of other updates
    # Guards against traffic between regions that grows with the square of the fleet at each start.
    Given a fleet of 60 hosts
    When 5 s pass
    And host 7 announces itself again and then host 8 is suspected by host 9
    Then every host has the announcement, after at most 3 messages of each
    And the suspicion took more than 4 messages of each

  Scenario: An announcement that was lost is found by the comparison of tables
    # Guards against a host that is never returned by some lookups because of one lost message.
    Given a fleet of 60 hosts
    When 5 s pass
    And host 7 announces itself again while all member updates are lost for 0.5 s
    And 15 s pass
    Then every host has the announcement

  Scenario: A silent connection is replaced and the peer stays alive
    # Guards against suspecting a live peer because of one connection that stays silent.
    Given a fleet of 12 hosts
    When 5 s pass
    And all open streams between host 0 and its neighbours go silent
    And 12 s pass
    Then no host was ever suspected
    And host 0 has replaced its silent streams

  Scenario: An empty host list removes no host
    # Guards against removing all hosts on the evidence of the list alone.
    Given a fleet of 12 hosts
    When the host list becomes empty
    And 120 s pass
    Then no host was ever gone
    And lookups on host 0 return 12 hosts

  Scenario: Lookups on the smaller side of a partition still return the other side
    # Guards against removing most hosts on the evidence of the failure detector alone.
    Given a fleet of 12 hosts
    When 10 s pass
    And hosts 0 to 3 are partitioned
    And 120 s pass
    Then host 0 considers 8 hosts gone
    And lookups on host 0 return 12 hosts, the 4 live ones first
    When the host list becomes empty
    And 60 s pass
    Then lookups on host 0 return 4 hosts

  Scenario: The two sides of a healed partition rejoin
    # Guards against a fleet that stays split because no host contacts gone members.
    Given a fleet of 30 hosts
    When 5 s pass
    And hosts 0 to 9 are partitioned together for 60 s
    Then every host is alive everywhere within 30 s

  Scenario: One observer is sufficient only for a host that is not listed
    # Guards against one faulty observer removing a listed host.
    Given a fleet of 9 hosts
    When only host 1 suspects, for 20 s, listed host 4 and unlisted host 5
    Then that observer considers host 4 suspect and host 5 gone

  Scenario: Hosts that know only the host list discover each other
    # Guards against a start that depends on existing member tables.
    Given a fleet of 9 hosts that do not know each other
    Then every host is alive everywhere within 15 s

  Scenario Outline: The calls that read the host list do not grow with the fleet
    # Guards against calls to the store, which are charged for, at the rate of hosts.
    When <size> hosts read the host list for an hour at <rate> calls/s for all together
    Then they made at most <limit> calls besides the first of each

    Examples:
      | size | rate | limit |
      | 9    | 15   | 8000  |
      | 920  | 15   | 60000 |
      | 9    | 0.5  | 2000  |
      | 195  | 0.5  | 2000  |
      | 920  | 0.5  | 2000  |

  Scenario: A host that could not read the host list tries again soon
    # Guards against a host that finds no other host for minutes after an outage of the store.
    When 195 hosts fail to read the host list in the first 20 s
    Then each has read it 27 s after that

  Scenario: A host that registered after the list was read is not taken for removed
    # Guards against the removal of a host by a single observer where entries do not expire.
    Given host lists of a platform whose entries expire and of one whose entries do not
    When a list without host x is read
    Then x counts as removed only where entries expire

  Scenario: A host is proven gone only by evidence that persists
    # Guards against reclaiming the shares of a host that still serves.
    Given a fleet of 9 hosts
    When 70 s pass
    And host 3 loses power
    And 100 s pass
    Then host 3 is not proven gone
    When host 3 is removed from the host list
    And 200 s pass
    Then host 3 is proven gone
    When host 4 stops and host 5 is restarted
    And 50 s pass
    Then the old incarnations of hosts 4 and 5 are not proven gone
    When 30 s pass
    Then the old incarnations of hosts 4 and 5 are proven gone

  Scenario Outline: An unknown host is proven gone only by evidence that persists
    # Guards against reclaiming the shares of a live host that an outdated list omits.
    Given a host that never met host x, with these events: <events>
    Then after 200 s host x is <verdict> gone

    Examples: lists that omit or contain the host, peers whose table agrees, and updates
      | events                                          | verdict    |
      | 1 misses, 150 agrees                            | not proved |
      | 1 misses, 50 misses, 150 agrees                 | not proved |
      | 1 misses, 50 agrees, 100 misses                 | not proved |
      | 1 misses, 100 holds, 150 agrees                 | not proved |
      | 1 misses, 100 misses, 110 agrees, 120 updates   | not proved |
      | 1 misses, 100 misses, 110 agrees                | proved     |

  Scenario: A partitioned host does not prove an unknown host gone
    # Guards against reclaiming the shares of hosts that only the peers know.
    Given a fleet of 9 hosts
    When hosts 0 to 0 are partitioned
    And 200 s pass
    Then an unknown host is proven gone on host 1, but not on host 0

  Scenario: Different tables converge after a few digests
    # Guards against rows that stay missing after an incomplete flood, against exchanges that never
    # end and against sending whole tables.
    Then two tables that missed any updates agree after 20 digests, and further ones get no response
    And a new stream repairs one missing row among 920 with at most 1500 bytes

  Scenario: A gone member finally expires
    # Guards against tables that grow without bound because hosts keep exchanging gone members.
    Then a gone host stays removed on hosts that learned of it 30 minutes apart

  Scenario: Updates merge to the same table in any order
    # Guards against permanent disagreement after duplicated or reordered messages.
    Then any order of any updates, some duplicated, results in the same table

  Scenario: The memory for forwarded floods is bounded
    # Guards against growth with the number of topics, and against forwarding a message twice.
    Then a flood filter accepts each version once and retains a bounded number of topics
