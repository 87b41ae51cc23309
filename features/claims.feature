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

  Scenario: A store that comes back from a copy never lets a key be claimed twice
    Guards against a second holder of a key whose acknowledged claim was lost with the copy.
    When 4 hosts claim keys while the store comes back from copies and hosts restart
    Then every key has one holder on all hosts

  Scenario Outline: A resend of a key whose claim was lost with the copy
    Guards against a request that runs again at a host that does not know of its first run.
    Given a key whose claim the store acknowledged and lost, with an owner that <owner>
    Then a resend to another host gets <answer>
    And a key that was never sent is claimed when the lifetime of claims has passed

    Examples:
      | owner        | answer                     |
      | keeps going  | the first holder           |
      | restarted    | code "store_unavailable"   |
