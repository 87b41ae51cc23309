Feature: Few hosts ask the store and all hear of it

  Scenario: All hosts agree on two watchers of a large region
    When fleets of any size and zones know each other
    Then each region above three hosts has two watchers, from two zones if it has them
    And each other host follows exactly these
    And in smaller regions all hosts watch

  Scenario: In a large region hosts pass on what the watchers tell
    This guards against watchers whose bytes grow with the region.

    When regions of 40, 92 and 200 hosts know each other
    Then each host is followed by at most 16 others, and by at most 40 in the largest
    And each follows two hosts that are at most one host away from the store

  Scenario: Hosts that follow each other do not keep each other current
    This guards against hosts that believe what they hear although nobody hears from the store.

    Given two watchers, two relays that follow them and a follower of the relays
    When objects change, and then both watchers lose the store
    Then the follower knew of the changes, and later knows that it hears from nobody

  Scenario: A watcher that fails is replaced
    This guards against a region that hears nothing more when its watchers are cut off.

    When any of the watchers of a region fail to hear from the store
    Then two hosts that do not fail watch, as long as there are two

  Scenario: What a watcher hears reaches its followers
    This guards against changes that are lost on the way to a host.

    Given two watchers and a follower on a network that loses and repeats messages
    When the store's objects change for 20 s
    Then the follower knows what the store holds within 4 s of the last change

  Scenario: The removal of the newest object is caught up
    This guards against a target that a follower keeps for ever because its removal was lost.

    Given two watchers and a follower on a network that loses and repeats messages
    When the newest object is removed while all messages are lost for 1 s
    Then the follower knows what the store holds within 4 s of the last change
