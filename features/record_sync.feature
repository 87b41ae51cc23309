Feature: A record takes effect on all hosts within seconds and is never reverted

  Scenario Outline: A change reaches every host in time
    # Guards against changes that reach some hosts late or not at all (R8: 8 s).
    Given a fleet of <size> hosts that loses 5% of messages
    When 5 s pass
    And a tenth of the hosts are paused and record 2 is written
    Then every running host has record 2 within 8 s
    When the paused hosts wake
    Then every running host has record 2 within 8 s
    And no host ever went back to a lower number

    Examples:
      | size |
      | 9    |
      | 90   |
      | 300  |

  Scenario: A host restarts while the store is down
    # Guards against a restarted host that serves with an outdated record or without one.
    Given a fleet of 9 hosts
    When record 1 is written and then record 2
    And 5 s pass
    And the store is down and host 4 restarts with only seeds
    Then host 4 is ready with record 2 within 15 s
    And host 4 had at least 3 answers before it was ready
    And no host ever went back to a lower number

  Scenario: A host that reaches neither the store nor a peer is not ready
    # Guards against a host that serves without a record.
    Given a fleet of 1 hosts
    When the store is down before anything was read
    And 60 s pass
    Then host 0 is not ready

  Scenario: The answers that a start with the store down needs
    # Guards against a host that serves with the outdated record of a single peer.
    Then of 9 peers 3 have to answer and of 2 peers all, after 4 rounds

  Scenario: Heartbeats repair announcements that were lost
    # Guards against a host that stays outdated permanently after a lost announcement.
    Given a fleet of 30 hosts
    When 5 s pass
    And all announcements are lost and record 2 is written
    Then every running host has record 2 within 8 s

  Scenario: A watch that went silent ends in bounded time
    # Guards against a watch that waits indefinitely on a dead connection.
    Given a fleet of 1 hosts
    When 5 s pass
    And the store never answers for 40 s and then record 2 is written
    Then every running host has record 2 within 60 s

  Scenario: A store that is down is not called in a tight loop
    # Guards against a retry storm that prevents the store from recovering.
    Given a fleet of 9 hosts
    When 5 s pass
    And the store is down for 120 s
    Then each host made at most 60 calls meanwhile

  Scenario: A small edit travels as a small patch and arrives exactly
    # Guards against patches that lose nulls, reorder members or resend the whole record.
    Then any record patched to any other equals it
    And the patch for one changed weight of a 100 KB declaration is under 300 bytes
    And the examples of RFC 7396 hold

  Scenario: A change after the store came back from a copy
    # Guards against a watch that goes on from a lost version and never sees a later change.
    Given a fleet of 9 hosts
    When record 1 is written and then record 2
    And 5 s pass
    And the store comes back with record 1 and then record 3 is written
    Then every running host has record 3 within 8 s

  Scenario Outline: A record that the store lost is written again
    # Guards against a confirmed declaration that is lost for hosts that start later.
    Given a fleet of 9 hosts
    When record 1 is written and then record 2
    And 5 s pass
    And the store comes back with <copy> <times> times
    Then the store holds record 2 within 8 s, written once each time
    When all hosts restart
    Then every running host has record 2 within 8 s

    Examples:
      | copy      | times |
      | record 1  | 1     |
      | record 1  | 2     |
      | no record | 1     |

  Scenario: A record that the store lost does not replace a later one
    # Guards against a lost declaration that replaces one which was confirmed after the loss.
    Given a fleet of 9 hosts
    When record 1 is written and then record 2
    And 5 s pass
    And the store comes back with record 1 and then record 3 is written
    And 5 s pass
    Then the store holds record 3
