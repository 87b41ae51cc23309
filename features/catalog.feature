Feature: Hosts keep an up-to-date view of the platform's store

  Scenario: Objects in a view never revert to an older state
    This guards against an old listing or a late event from a peer that restores an old state.

    When the store's changes reach a view in any order, more than once and from several sources
    Then no object ever reverts to an older state
    And after a final listing the view equals the store

  Scenario: An outdated listing restores no removed object
    This guards against a target that left, in use again on a host that listed the store and then
    got the older listing of a peer.

    When a new view gets a listing of the store and then an older one with an object that was removed
    Then the view does not contain that object, and contains it when it is written again

  Scenario: A manifest never reverts to an older version
    This guards against a host that activates an older manifest.

    When manifests are offered in any order
    Then the active version only increases and ends at the highest

  Scenario Outline: The newest manifest stays when the store comes back older
    Guards against followers and restarted hosts that get a manifest which was replaced (CONFIG).

    Given a view of the manifest at version 3
    When its store <change>
    Then the view has version <version>, and version 5 once the operator writes it

    Examples:
      | change                                        | version |
      | comes back with version 2                     | 3       |
      | comes back without a manifest                 | 3       |
      | gets a malformed manifest with version 9      | 9       |
      | comes back and an old report has version 4    | 4       |

  Scenario: The route with the longest matching prefix is selected
    This guards against a request that is handled by the rules of another route.

    When any paths are looked up with any prefixes
    Then the route is the one with the longest prefix that matches

  Scenario: A target entry with a field of the wrong type is rejected
    This guards against requests to an address that another writer left in the store.

    When target entries are read that have one field of the wrong type each
    Then each is rejected with a declared error, and the valid entry is accepted

  Scenario: Malformed entries affect only themselves
    This guards against one malformed object that keeps a host from learning of the others.

    When any JSON is read as a manifest, a target or a stored object
    Then it is accepted or rejected with a declared error

  Scenario: A target whose entry becomes unreadable is removed
    This guards against requests to the address that a target had before its entry was corrupted.

    Given a catalog with a registered target
    When the target's entry becomes unreadable
    Then the target has been removed

  Scenario: A feed stays in sync with the store in spite of failures
    This guards against a host that keeps an old state after history or responses were lost.

    When the store changes, loses calls, discards history, becomes unavailable and comes back older
    Then the feed equals the store within 3 s of its recovery

  Scenario: A feed notices at once that its watch goes on in another era
    Guards against changes that are missed since the store has given out the watch's revision again.

    When the store comes back older and reaches the revision of a watch before that is answered
    Then the feed equals the store 0.3 s later

  Scenario: The counter of the store shows which kinds may lack a change
    Guards against a change that no watch delivers and no check notices.

    When changes of watched and other kinds are delivered in any order, or lost
    Then each kind that lacks a change is reported, and none if only delivered changes were made

  Scenario: Targets survive an outage in which their registrations expired
    This guards against an outage of the store that removes all targets.

    Given a catalog with a registered target
    When the store recovers without the target and the target registers again after 1 s
    Then the target was never removed

  Scenario: A target that does not register again is removed after the grace period
    This guards against requests to a target that shut down during an outage.

    Given a catalog with a registered target
    When the store recovers without the target
    Then the target is removed 2 s after the recovery and not before

  Scenario: What a store lost when it came back older stays in force until it is written again
    Guards against requests that are refused for lack of targets, or sent to an evacuated zone.

    Given a catalog with a registered target
    When the store comes back older without the target and an evacuation, at any time after an outage
    Then both stay in force for 2 s, and for good if they are written again within that time

  Scenario: What a store lost stays in force when it comes back older once more
    Guards against a grace period that ends before the second return allows to write anything again.

    Given a catalog with a registered target
    When the store comes back without the target and an evacuation, and once more before they are written
    Then both stay in force until they are written again

  Scenario: A target that one return lost and the next shows outdated stays in use
    Guards against a target that is removed although the store lists it.

    Given a catalog with a registered target
    When the store comes back without the target, and once more with an outdated entry of it
    Then the target is in use all the time

  Scenario: A target that leaves after the store came back older is removed at once
    Guards against requests to a target that has left, for the time that lost entries are kept.

    Given a catalog with a registered target
    When the store comes back older with the target and an evacuation, and both are removed
    Then both are gone at once

  Scenario Outline: Targets keep the state that is known when the store came back older
    Guards against requests to targets that drain or have left, by entries from the older copy.

    Given a catalog with a registered target
    When the target has <changed> and the store comes back older with its first entry
    Then its state is kept until the target writes again, or for three heartbeats and 1 s

    Examples:
      | changed                |
      | begun to drain         |
      | left                   |
      | been started again     |

  Scenario: A host that was cut off from the store learns in time of targets that left meanwhile
    This guards against requests to a target that shut down while this host was cut off. Found by
    a randomized run: selo-ops scale-2, seed 339403990409, DRAIN.

    Given a target that shuts down while a host is cut off from the store for 12 s
    When the connection is restored at any moment
    Then the host has removed the target 2.8 s later
