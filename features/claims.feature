Feature: A caller's own key is claimed for at most one host

  Scenario: Hosts that disagree about the owner of a part never claim a key twice
    Guards against two hosts that each believe to own a part of the key space, while store
    writes fail, are lost before or after they took effect, and claims race.
    When 4 hosts with different member lists claim the same keys under random store failures
    Then every key has one holder, whoever was asked

  Scenario: Claims that arrive together share one store write
    Guards against one store write for each booking.
    When 200 keys of one part are claimed at once through its owner
    Then the store took at most 4 writes

  Scenario: With the store down a claim is answered at once
    Guards against a caller that waits for its deadline while the store is down.
    When a key is claimed while the store is down
    Then the claim fails with code "store_unavailable" within 1 second
