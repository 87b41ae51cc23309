Feature: Hosts agree on who is in the fleet without a coordinator

  Scenario: Lost messages alone remove nobody
    # Guards against a detector that takes a few lost heartbeats for a death.
    Given a fleet of 60 hosts that loses 5% of messages
    When 60 s pass
    Then no host was ever gone

  Scenario Outline: A dead host is gone everywhere within a bound
    # Guards against a failure that is found late or only by its neighbours.
    Given a fleet of 30 hosts that loses 5% of messages
    When 5 s pass
    And host 7 <dies>
    Then host 7 is gone everywhere within 13 s

    Examples:
      | dies          |
      | dies          |
      | loses power   |

  Scenario: A paused host refutes on waking and removes nobody
    # Guards against a sleeper that stays removed, or that blames others for its own silence.
    Given a fleet of 30 hosts
    When 5 s pass
    And host 7 begins to suspect host 8 with another observer, and is paused for 40 s
    Then host 7 was gone meanwhile
    And every host is alive everywhere within 1 s
    And only host 7 was ever gone

  Scenario: A host that has started is named when it can serve
    # Guards against look-ups that send callers to a host which has not learnt what it serves.
    Given a fleet of 12 hosts
    When 5 s pass
    And host 7 starts again and is not ready
    And 3 s pass
    Then host 7 is starting everywhere and named nowhere
    When host 7 is ready
    Then host 7 is named everywhere within 1 s
    When host 8 starts again, knows the table and meets host 7 by its greeting alone
    Then host 8 names host 7

  Scenario: A silent connection is replaced and the peer stays alive
    # Guards against a live peer being blamed for a connection that went silent for good.
    Given a fleet of 12 hosts
    When 5 s pass
    And all open streams between host 0 and its neighbours go silent
    And 12 s pass
    Then no host was ever suspected
    And host 0 has replaced silent streams

  Scenario: An empty host list removes nobody
    # Guards against the list alone emptying the fleet.
    Given a fleet of 12 hosts
    When the host list becomes empty
    And 120 s pass
    Then no host was ever gone
    And host 0 names 12 hosts

  Scenario: The smaller side of a cut keeps naming the other side
    # Guards against the detector alone emptying the fleet.
    Given a fleet of 12 hosts
    When 10 s pass
    And hosts 0 to 3 are cut off
    And 120 s pass
    Then host 0 counts 8 hosts as gone
    And host 0 names 12 hosts, the 4 live ones first
    When the host list becomes empty
    And 60 s pass
    Then host 0 names 4 hosts

  Scenario: Two sides of a healed cut find each other
    # Guards against a fleet that stays split because nobody contacts gone members.
    Given a fleet of 30 hosts
    When 5 s pass
    And hosts 0 to 9 are cut off together for 60 s
    Then every host is alive everywhere within 30 s

  Scenario: One observer is enough only against a host that is not listed
    # Guards against one faulty observer removing a listed host.
    Given a fleet of 9 hosts
    When host 1 alone claims for 20 s that listed host 4 and unlisted host 5 do not answer
    Then that observer counts host 4 as suspect and host 5 as gone

  Scenario: Hosts that know only the list find each other
    # Guards against a start that needs prepared member tables.
    Given a fleet of 9 hosts that do not know each other
    Then every host is alive everywhere within 15 s

  Scenario: Gone is proved only by evidence that lasted
    # Guards against reclaiming shares of a host that still serves.
    Given a fleet of 9 hosts
    When 70 s pass
    And host 3 loses power
    And 100 s pass
    Then host 3 is not proved gone
    When the host list drops host 3
    And 200 s pass
    Then host 3 is proved gone
    When host 4 finishes and host 5 is restarted
    And 50 s pass
    Then the old incarnations of hosts 4 and 5 are not proved gone
    When 30 s pass
    Then the old incarnations of hosts 4 and 5 are proved gone

  Scenario Outline: An unknown host is proved gone only by lasting evidence
    # Guards against reclaiming shares of a live host that a stale answer of the list omits.
    Given a host that never met host x, to which this happens: <events>
    Then after 200 s host x is <verdict> gone

    Examples: answers of the list that miss or hold it, peers whose table agrees, and updates
      | events                                          | verdict    |
      | 1 misses, 150 agrees                            | not proved |
      | 1 misses, 50 misses, 150 agrees                 | not proved |
      | 1 misses, 50 agrees, 100 misses                 | not proved |
      | 1 misses, 100 holds, 150 agrees                 | not proved |
      | 1 misses, 100 misses, 110 agrees, 120 updates   | not proved |
      | 1 misses, 100 misses, 110 agrees                | proved     |

  Scenario: A host that is cut off proves nothing about a host that it never met
    # Guards against a host that reclaims the shares of hosts that only its peers know.
    Given a fleet of 9 hosts
    When hosts 0 to 0 are cut off
    And 200 s pass
    Then host 1 proves a host gone that nobody knows, and host 0 does not

  Scenario: Tables that differ agree after a few digests
    # Guards against rows that a flood missed, against exchanges that never end and against whole
    # tables on the wire.
    Then two tables that missed any updates agree after 20 digests, which then get no answer
    And a new stream fills in one missed row among 920 with at most 1500 bytes

  Scenario: A gone member is forgotten in the end
    # Guards against tables that grow for ever because hosts keep telling each other old losses.
    Then a host that went gone stays forgotten by hosts that learned it 30 minutes apart

  Scenario: Updates merge to the same table in any order
    # Guards against hosts that disagree for good because messages were doubled or crossed.
    Then any order of any updates, some doubled, gives the same table

  Scenario: The memory of passed on floods is bounded
    # Guards against growth with the number of topics, and against passing on twice.
    Then a flood filter passes each version once and keeps a bounded number of topics
