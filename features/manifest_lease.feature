Feature: No host accepts an API key long after it was withdrawn

  Scenario Outline: Hosts with a path to the store never refuse, at one read a second and region
    Guards against leases that lapse in regular operation, and against store calls that grow with the fleet.

    Given a fleet of <sizes> hosts that keep the manifest confirmed
    When it runs for 20 s without faults
    Then no host refuses keys, and the oldest evidence is at most <oldest> s old
    And the hosts of each region make at most 21 reads, all by one host
    And no host gets or sends more than <messages> questions and answers a second

    Examples:
      | sizes      | oldest | messages |
      | 5, 4       | 2      | 12       |
      | 3, 2       | 2      | 12       |
      | 20, 20, 21 | 2.2    | 40       |
      | 48         | 2.2    | 40       |

  Scenario: Nothing happens without a bound on withdrawals
    Guards against calls and messages in deployments that have no customers.

    Given a fleet of 24, 24 hosts without a bound on withdrawals
    When it runs for 20 s without faults
    Then no host refuses keys
    And no host has read or asked

  Scenario: A bound of 0 s
    Guards against reads and questions without pause when the settings demand what no host can know.

    Given a fleet of 5, 4 hosts with a bound on withdrawals of 0 s
    When it runs for 20 s without faults
    Then each host refuses keys, and none has read more than 6 times a second

  Scenario Outline: Random delays, cuts, freezes and losses
    Guards against evidence that counts from any moment after its call or question was sent.

    Given fleets of <sizes> hosts with random delays and faults
    When a key is withdrawn at a random moment
    Then no host accepts it later than 5 s after that

    Examples:
      | sizes  |
      | 5, 4   |
      | 24     |
      | 3, 1   |

  Scenario: The store loses the withdrawal of a key and gets it again
    Guards against a read of an older copy that confirms a manifest whose successor is lost.

    Given fleets of 5, 4 hosts with random delays and faults
    When a key is withdrawn just before the store comes back from an older copy
    Then no host accepts it later than 5 s after that

  Scenario: A return from an older copy without an outage refuses nobody
    Guards against refusals at all hosts whenever the store comes back.

    Given a fleet of 24, 24 hosts that keep the manifest confirmed
    When the store comes back from an older copy and the fleet runs for 8 s
    Then no host refuses keys

  Scenario: Evidence while lost changes may be missing
    Guards against refusals after a short return, and against full trust in the copy.

    Given a host with the manifest of version 5 whose evidence is 1 s old
    When the store comes back from an older copy and the host reads it after 1.9 s and 2.1 s
    Then the first read confirms 0.5 s more than before, and the second one everything

  Scenario: A host that is cut off from the store and all hosts
    Guards against cut-off hosts that accept withdrawn keys, or refuse valid ones too early.

    Given a fleet of 5, 4 hosts that keep the manifest confirmed
    When a host is cut off from the store and all hosts for 8 s
    Then it refuses keys from 2.3 s to 4 s after that, and no other host does
    And it accepts keys again within 1.5 s after the cut
    And its log has one expiry and one renewal, which are also counted

  Scenario: An outage of the store
    Guards against hosts that confirm each other's manifests without the store, and that refuse too early.

    Given a fleet of 24, 24 hosts that keep the manifest confirmed
    When the store goes down for 10 s at any moment between two reads
    Then all hosts refuse keys from 2.9 s to 4 s after that on
    And all hosts accept keys again within 1 s after the outage
    And the hosts have made at most 8 reads during the outage

  Scenario Outline: Watchers die
    Guards against followers that lose their lease while hosts with a path to the store remain.

    Given a fleet of 24, 24 hosts that keep the manifest confirmed
    When <lost> of the first region die and the fleet runs for 8 s
    Then no host refuses keys

    Examples:
      | lost          |
      | one watcher   |
      | both watchers |

  Scenario: The store refuses both watchers of a region
    Guards against followers that depend on watchers which get no evidence.

    Given a fleet of 24, 24 hosts that keep the manifest confirmed
    When the store refuses both watchers of the first region and the fleet runs for 8 s
    Then no host refuses keys

  Scenario Outline: The store discards its history
    Guards against a host that repeats a read which the store cannot answer any more.

    Given a fleet of <sizes> hosts that keep the manifest confirmed
    When the store discards its history twice a second for 12 s
    Then no host refuses keys

    Examples:
      | sizes  |
      | 24, 24 |
      | 3, 1   |

  Scenario Outline: A read whose changes the store has discarded
    Guards against evidence without the changes that were discarded, and against reads that fail for ever.

    Given a host that <watches> the store, which has discarded the changes since its listing
    When it reads the store
    Then <lists> lists the manifests, and the read itself is no evidence

    Examples:
      | watches        | lists         |
      | watches        | its feed      |
      | does not watch | the host      |

  Scenario: A slow store
    Guards against reads of all hosts that add to the load of a store which answers late.

    Given a fleet of 20, 20, 21 hosts that keep the manifest confirmed
    When each answer of the store takes 1.2 s for 20 s
    Then no host refuses keys
    And the hosts have made at most 100 reads in that time

  Scenario: Watchers whose reads fail
    Guards against followers that rely on watchers which receive changes but have no evidence.

    Given a fleet of 5, 4 hosts that keep the manifest confirmed
    When the store answers the checks of all watchers but not their reads for 12 s
    Then no host that ran all the time refuses keys

  Scenario: A host whose relays restart and which does not reach the store
    Guards against hosts that ask only the hosts which they follow.

    Given a fleet of 48 hosts that keep the manifest confirmed
    When the relays of a host restart one after the other and it does not reach the store
    Then no host that ran all the time refuses keys

  Scenario: A host that reaches one other host only
    Guards against a host that refuses keys although it has a path to a current host.

    Given a fleet of 24, 24 hosts that keep the manifest confirmed
    When a host loses the store and all hosts but one that it does not follow
    Then no host that ran all the time refuses keys for longer than 1 s

  Scenario: Hosts that lose each other but not the store
    Guards against leases that need other hosts.

    Given a fleet of 5, 4 hosts that keep the manifest confirmed
    When all hosts lose each other and the fleet runs for 10 s
    Then no host refuses keys

  Scenario: A machine is suspended
    Guards against a lease on a clock that stands still during a suspension.

    Given a fleet of 5, 4 hosts that keep the manifest confirmed
    When the machine of a host is suspended for 6 s while its question is on the way
    Then it refuses keys when it wakes, also after the answer to that question
    And it accepts keys again within 1.5 s

  Scenario: A frozen host
    Guards against a host that serves withdrawn keys when it wakes, before it has read anything.

    Given a fleet of 5, 4 hosts that keep the manifest confirmed
    When each host in turn is frozen for 6 s while a key is withdrawn
    Then none accepts the key when it wakes or later

  Scenario Outline: All hosts start
    Guards against hosts that have a manifest and refuse keys for longer than needed.

    Given a fleet of <sizes> hosts that keep the manifest confirmed
    When all hosts lose power and start again
    Then each host accepts keys within 0.25 s of having the manifest
    And at most <reads> reads have been made by then

    Examples:
      | sizes  | reads |
      | 5, 4   | 9     |
      | 24, 24 | 12    |

  Scenario: Hosts that restart one after the other
    Guards against a host that has the manifest from a peer and waits before it asks that peer.

    Given a fleet of 24, 24 hosts that keep the manifest confirmed
    When hosts that follow others restart one after the other
    Then each host accepts keys within 0.25 s of having the manifest
    And at most 0 reads have been made by then

  Scenario: Evidence of a peer
    Guards against a peer whose manifest is older, or whose evidence is not for the manifest of this host.

    Given a host with the manifest of version 5 and no evidence
    When it gets the answers of peers to questions that it sent 1 s before
      | version | era | age_s | until       |
      | 4       | 1   | 0.5   | none        |
      | 5       | 0   | 0.5   | none        |
      | 5       | 1   | -1    | none        |
      | 6       | 1   | 0.5   | none        |
      | 5       | 1   | 0.5   | -1.5        |
      | 5       | 1   | 2.5   | none        |
      | 5       | 1   | 0.2   | -1.2        |
    Then each answer counts from the time that is stated
    And the answer of the later version counts when the host has that version

  Scenario: A late answer of the store
    Guards against a read that counts from its answer, although a key was withdrawn meanwhile.

    Given a host alone in its fleet, with a store whose answers take 1.2 s from now on
    When it has read the store for 6 s
    Then its evidence was at no time newer than the call that showed it

  Scenario: Answers that were not asked for
    Guards against evidence that is counted from the time of another question.

    Given a host with the manifest of version 5 and no evidence
    When it gets an answer that it did not ask for, one of another host, and one twice
    Then only the first answer of the host that it asked counts

  Scenario Outline: Look-ups while the manifest is not confirmed
    Guards against look-ups that send callers to a host which refuses their keys.

    Given a directory of a host in <zone> with hosts in <zones>
    When the host's manifest is not confirmed
    Then a caller of its zone gets <named>

    Examples:
      | zone     | zones                           | named       |
      | attiki-a | attiki-a, attiki-b, makedonia-a | attiki-b    |
      | attiki-a | attiki-a, makedonia-a           | attiki-a    |

  Scenario: The clock of leases
    Guards against a clock that does not count the suspension of the machine.

    When the boot time is read on the system's loop and on a virtual one
    Then it is the system's boot time and the time of the virtual loop

  Scenario: Processes whose store fails
    Guards against leases that work only in memory: settings, wire format and wiring.

    Given 4 processes of hosts with a bound on withdrawals of 5 s and a store
    When they have the manifest, one is stopped for 6 s, and then the store refuses all calls for 6 s
    Then all of them were confirmed, the stopped one not when it woke, and none at the end of the outage
    And all of them are confirmed within 5 s after the outage
    And their metrics have the age of the manifest and the expiries
