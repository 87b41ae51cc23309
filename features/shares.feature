Feature: The shares held by all hosts never exceed a region's totals

  Scenario: Loans, seals, host failures and concurrent coordinators in any order
    This guards against a share that is assigned twice: through a lost or duplicated message, a
    coordinator that was paused during its write, or by reclaiming what a silent host holds.

    When hosts borrow, seal, fail, pause and write epochs in any order
    Then the shares held never exceeded the totals and are fully assigned at the end

  Scenario: The declaration changes totals while hosts are silent
    This guards against a changed total that is distributed in addition to what silent hosts still
    hold.

    When the totals also change between such events
    Then the shares held never exceeded the largest total and match the last one at the end

  Scenario: The store comes back from a copy between such events
    This guards against an epoch number that is given out twice, so that two holders use one share.

    When the store also comes back from copies between such events
    Then the shares held never exceeded the totals and are fully assigned at the end

  Scenario: The share of a silent host is reserved
    This guards against an epoch that reassigns the share of a host that is only silent.

    Given a fleet with its first share epoch
    When a host is silent while the totals change and then returns
    Then its share was reserved and it holds the same amount as before

  Scenario: The write of a paused coordinator is rejected
    This guards against two versions of one epoch when a coordinator writes after a pause.

    Given a fleet with its first share epoch
    When the coordinator pauses during its write and another host writes the next epoch
    Then the paused write is rejected and all hosts hold what the other host wrote

  Scenario: A sealed host neither lends nor borrows
    This guards against share that a host reports as its own and then lends to a silent host.

    Given a host that sealed its epoch
    Then a peer that requests share gets nothing and a late loan is ignored

  Scenario: A leaving host hands over its share
    This guards against share that stays unused until an epoch reclaims it, and against a leaving
    host that borrows it back.

    When one of nine hosts hands over its share
    Then it holds no share a few seconds later and the others hold all of it

  Scenario: The cost of lending does not grow with the fleet
    This guards against a host that sends requests to all others in a large fleet.

    When a host of a fleet of 920 lacks share for 10 seconds
    Then it sends at most 40 messages
