Feature: Every host receives a change in time, whichever hosts fail

  Scenario Outline: A host that the store refuses receives the manifest from other hosts
    Guards against a watcher that places requests by an old manifest while its peers have the new one.

    Given regions of <sizes> hosts that have the manifest
    When the store refuses <away> and the manifest changes after any delay
    Then every host has it within 2 s

    Examples:
      | sizes     | away                                  |
      | 24, 24    | one watcher of the first region       |
      | 3, 3, 2   | one watcher of the first region       |
      | 24, 24    | both watchers of the first region     |
      | 3, 3, 2   | all hosts of the first region         |
      | 24, 24    | all hosts of the first region         |

  Scenario Outline: Watchers that the store stops answering delay no change
    Guards against hosts that send confined requests to a region that is no longer allowed (HOME).

    Given regions of <sizes> hosts that have the manifest
    When <cut> of the first region lose the path to the store and the manifest changes at any moment
    Then every host has it within 0.4 s, before a check can be overdue

    Examples:
      | sizes     | cut                                   |
      | 24, 24    | both watchers                         |
      | 24, 24    | all hosts                             |
      | 3, 3, 2   | all hosts                             |
      | 24, 24, 9 | both watchers and one of each other   |

  Scenario Outline: A store that comes back from an older copy delays no change
    Guards against hosts that ignore new objects since their revisions were given out before (CONFIG).

    Given regions of <sizes> hosts that have the manifest
    When the store comes back <returns> without the last changes and the manifest changes at any moment
    Then every host has it within 2 s

    Examples:
      | sizes     | returns                               |
      | 24, 24    | after 2 s                             |
      | 24, 24    | after 0 s                             |
      | 24, 24    | after 2 s and again after 1 s         |
      | 3, 3, 2   | after 2 s                             |

  Scenario Outline: A host that restarts after the store came back older uses no replaced manifest
    Guards against hosts that serve by an older manifest until the operator has written it again (CONFIG).

    Given regions of <sizes> hosts that have the manifest
    When the store comes back older and <restarted> restart before the manifest is written again
    Then they have the manifest in force within <in_force> s of their start, and keep it

    Examples:
      | sizes     | restarted       | in_force |
      | 24, 24    | followers       | 0.6      |
      | 24, 24    | one watcher     | 0.6      |
      | 3, 3, 2   | one watcher     | 0.6      |

  Scenario Outline: All watchers of the fleet lose the path to the store at once
    Guards against hosts that have no source of a change left and notice it too late to ask the store.

    Given regions of <sizes> hosts that have the manifest
    When all watchers lose the path to the store at any moment and the manifest changes, bound <bound> s
    Then every host with a path to the store has it within <bound> s

    Examples:
      | sizes      | bound |
      | 9          | 3     |
      | 24, 24     | 3     |
      | 24, 24, 24 | 3     |
      | 9          | 2     |
      | 24, 24     | 2     |

  Scenario Outline: Watchers that reach only their followers delay no change
    Guards against hosts that refuse an added route since their watchers lost every path but theirs (CONFIG).

    Given regions of <sizes> hosts that have the manifest
    When both watchers of the first region reach only their region and the manifest changes at any moment
    Then every host with a path to the store has it within 2 s

    Examples:
      | sizes      |
      | 9, 9       |
      | 24, 24     |
      | 24, 24, 24 |

  Scenario Outline: Watches that all stop responding delay no change
    Guards against a change that no watch delivers while the checks of the store succeed (CONFIG).

    Given regions of <sizes> hosts that have the manifest
    When the watches of all watchers stop responding and the manifest changes at any moment
    Then every host has it within 2 s

    Examples:
      | sizes   |
      | 9       |
      | 3, 3, 2 |
      | 24, 24  |

  Scenario Outline: A network failure between two checks of the store delays no change
    Guards against a change whose events were lost by all watchers at once, unnoticed by any check (CONFIG).

    Given regions of <sizes> hosts that have the manifest
    When all hosts lose the path to the store for 0.2 s, 0.3 s or 0.4 s and the manifest changes meanwhile
    Then every host has it within 2 s

    Examples:
      | sizes   |
      | 9       |
      | 3, 3, 2 |
      | 24, 24  |

  Scenario Outline: The loss of watchers delays no change
    Guards against hosts that place requests by an old manifest because their watchers failed.

    Given regions of <sizes> hosts that have the manifest
    When <lost> of the first region lose power and the manifest changes after any delay
    Then every host has it within 2 s

    Examples:
      | sizes     | lost                                  |
      | 24, 24    | one watcher                           |
      | 24, 24    | both watchers                         |
      | 24, 24    | both watchers and half of the others  |

  Scenario Outline: A watch that stops responding delays no change
    Guards against a watcher whose open call to the store is lost without an error.

    Given regions of <sizes> hosts that have the manifest
    When the watches of <silent> of the first region stop responding and the manifest changes
    Then every host has it within 0.4 s, before a check can be overdue

    Examples:
      | sizes  | silent        |
      | 24     | one watcher   |
      | 24, 24 | one watcher   |
      | 24, 24 | both watchers |

  Scenario: A host that reaches the store but no other host queries the store itself
    Guards against a follower whose time-outs add up to more than the bound on applying a change.

    Given regions of 24, 24 hosts that have the manifest
    When hosts that follow others are isolated from all hosts and the manifest changes after any delay
    Then every host has it within 2 s

  Scenario: A removal during a short network failure is recovered
    Guards against a host that uses a target indefinitely because the message of its removal was lost.

    Given regions of 24, 24 hosts that have the manifest
    When an object is removed while hosts that follow others are isolated for 0.3 s, 1 s or 1.4 s
    Then no host has it 5 s later

  Scenario: A source that restarts costs its followers no calls
    Guards against listings of the store by every follower of each host that restarts.

    Given regions of 24, 24 hosts that have the manifest
    When the sources of a follower restart 5 s apart
    Then no follower of the first region has listed the store
    And every host has the next change within 2 s, and no object that was removed meanwhile

  Scenario: A removal that one source loses and the other does not learn of is recovered
    Guards against a target that stays in use since a source that misses changes seemed sound.

    Given regions of 24, 24 hosts that have the manifest
    When a source loses a removal just after the other source was cut off from the store and its peers
    Then no host has it 5 s later

  Scenario: A host that restarts takes no outdated objects from its sources
    Guards against a target that left, or a manifest that was replaced, in use again after a restart.

    Given regions of 24, 24 hosts that have the manifest
    When a follower restarts beside sources that have heard of no change for 3 s
    Then it never has the old manifest or the removed object
    And it has the manifest in force within 2.5 s of its start

  Scenario Outline: A host that restarts beside watchers that were just cut off soon has the change
    Guards against a host that answers by a replaced manifest since its sources do not know yet that they lack one (CONFIG).

    Given regions of <sizes> hosts that have the manifest
    When a follower restarts while the watchers of its region reach only their region, at any moment
    Then it serves by the replaced manifest for at most 2 s after the change

    Examples:
      | sizes  |
      | 9, 9   |
      | 24, 24 |

  Scenario Outline: A host that restarts takes what it serves from its peers
    Guards against calls to the store by each host that restarts: alone, it takes itself for a watcher.

    Given regions of 24, 24 hosts that have the manifest
    When a follower restarts and finds the other hosts <found>
    Then it has the manifest in force within <in_force> s of its start
    And it has <listed> the store

    Examples:
      | found        | in_force | listed     |
      | after 0.02 s | 0.6      | not listed |
      | after 0.3 s  | 0.2      | listed     |
      | never        | 0.2      | listed     |

  Scenario: All hosts restart together
    Guards against callers who wait until hosts that have just started have found each other.

    Given regions of 24, 24 hosts that have the manifest
    When all hosts restart, and a follower finds the others as they start
    Then it has the manifest in force within 0.2 s of its start
    And it has listed the store

  Scenario: A host that restarts during an outage of the store takes the objects of its sources
    Guards against a host that refuses all requests for as long as the store is down.

    Given regions of 24, 24 hosts that have the manifest
    When the store refuses all hosts and a follower restarts
    Then it has the manifest in force within 4 s of its start

  Scenario: A removal during a short network failure is recovered from a slow store
    Guards against a host that gives up its own listing of the store before the store has answered.

    Given regions of 24, 24 hosts that have the manifest
    When an object is removed while hosts are isolated, and the store takes 0.6 s for each call
    Then no host has it 5 s later

  Scenario: An outage of the store costs few calls and no listings
    Guards against calls and listings of all hosts at once, which cost a fleet of 195 hosts more than
    its requests.

    Given regions of 24, 24 hosts that have the manifest
    When the store refuses all hosts for 8 s and then answers again
    Then each host called it at most 12 times in that time, and no host sent a listing
    And at most 3 hosts of a region list the store after it, and all have the next change within 2 s

  Scenario: Changes of kinds that no host watches cost few calls
    Guards against a call of every watcher for each entry of a host, in a loop or without a need.

    Given regions of 24, 24 hosts that have the manifest
    When 20 changes of another kind are made within 10 s
    Then no host listed the store, and those that watch it made at most 2 calls more for each change

  Scenario: The log tells since when a host receives no changes
    Guards against incidents whose record does not show that a follower decided by old objects.

    Given regions of 24, 24 hosts that have the manifest
    When a host that follows others is isolated for 6 s from all hosts and the store
    Then its log has one interruption of its changes, and their return 4 s to 8 s later
