Feature: A caller-generated key is claimed for at most one host

  Scenario: Hosts that disagree about the owner of a partition never claim a key twice
    Guards against two holders of a key when several hosts consider themselves the owner of a
    partition, claims race, and store writes fail or are lost before or after they took effect.
    When 4 hosts with different member lists claim the same keys under random store failures
    Then every key has one holder on all hosts

  Scenario: Claims that arrive together share one store write
    Guards against one store write per booking.
    When 200 keys of one partition are claimed at once through its owner
    Then the store received at most 4 writes

  Scenario: A claim fails immediately while the store is down
    Guards against callers that wait until their deadline while the store is down.
    When a key is claimed while the store is down
    Then the claim fails with code "store_unavailable" within 1 second
