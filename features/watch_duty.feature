Feature: Few hosts watch the store and all receive its changes

  Scenario: All hosts agree on two watchers of a large region
    When fleets of any size and zones have discovered each other
    Then each region above three hosts has two watchers, from two zones if it has them
    And each other host follows exactly these
    And in smaller regions all hosts watch

  Scenario: The watchers of a region follow different regions
    Guards against a region that hears of no change since all sources of its watchers are cut off.

    When fleets of any regions and sizes have discovered each other
    Then the first two hosts of each region follow one host of another region each, the others none
    And with three regions or more these are of different regions, and each is a first or second host
    And if a followed host fails, another one of another region is followed as well

  Scenario: In a large region relays forward the updates of the watchers
    Guards against watchers whose traffic grows with the region.

    When regions of 40, 92 and 200 hosts have discovered each other
    Then each host is followed by at most 16 others, and by at most 40 in the largest
    And each follows two hosts that are at most one host away from the store

  Scenario: Changes cross availability zones only on their way to the relays
    Guards against traffic between zones that grows with the hosts times the changed targets.

    When regions of 40, 92 and 200 hosts have discovered each other
    Then only watchers and at most 15 relays of a region follow hosts of other zones
    And a host whose local relays all fail follows two usable relays of other zones

  Scenario: Few followers change their relays when a host leaves
    Guards against listings to a whole zone at each restart of a host.

    When any host of a region of 92 that neither watches nor relays leaves
    Then at most 4 of the others follow different hosts than before

  Scenario: A listing of many targets is compressed
    Guards against listings at the start of the fleet that exceed all other traffic between zones.

    Then the message of a listing of 1080 targets takes less than a third of their size
    And any objects are the same after encoding and decoding
    And malformed or truncated encodings are rejected

  Scenario: Hosts that follow each other do not keep each other current
    Guards against relays that report each other as current although none has contact to the store.

    Given two watchers, two relays that follow them and a follower of the relays
    When objects change, and then both watchers lose contact to the store
    Then the relays and the follower had the change, and later none of them counts as current

  Scenario: A watcher that fails is replaced
    Guards against a region that receives no more changes when its watchers are cut off.

    When any of the watchers of a region lose contact to the store
    Then two hosts with contact to the store watch, as long as there are two

  Scenario: Changes that a watcher receives reach its followers
    Guards against changes that are lost on the network between hosts.

    Given two watchers and a follower on a network that loses and duplicates messages
    When the store's objects change for 20 s
    Then the follower has the objects of the store within 4 s of the last change

  Scenario: A missed removal of the newest object is recovered
    Guards against a target that a follower keeps indefinitely because its removal was lost.

    Given two watchers and a follower on a network that loses and duplicates messages
    When the newest object is removed while all messages are lost for 1 s
    Then the follower has the objects of the store within 4 s of the last change

  Scenario Outline: Followers lose what only they know when the store comes back older
    Guards against targets and evacuations that stay for good on hosts whose source never had them.

    Given a source that has <objects>, and a follower that has another object too
    When the source lists the store, which came back older
    Then the follower has what the source has

    Examples:
      | objects     |
      | one object  |
      | no objects  |

  Scenario: A source that has not learned of the new era is not current
    Guards against a host that waits for changes from a source that misses them.

    Given a source that has one object, and a follower that has another object too
    When the follower learns of a new era before the source
    Then the source is not current for it until the source has listed the store

  Scenario: A removal that a listing shows is not undone by an older report
    Guards against a target that left, in use again on followers after a late report of a change.

    Given a source that has one object, and a follower that has another object too
    When the source finds the object removed in a listing, and the follower gets an older change
    Then the follower does not have the object
