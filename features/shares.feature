Feature: The shares that all hosts hold never exceed a region's totals

  Scenario: Lending, seals, deaths and racing stewards in any order
    This guards against a share that is handed out twice: by a lost or doubled message, by a
    steward that was paused in the middle of its write, or by reclaiming what a silent host holds.

    When hosts borrow, seal, die, pause and write epochs in any order
    Then the shares held never exceeded the totals and all of them are handed out in the end

  Scenario: The declaration changes totals while hosts are silent
    This guards against a smaller or larger total that is handed out beside what silent hosts
    still hold.

    When the totals change between any such events
    Then the shares held never exceeded the largest total and fit the last one in the end

  Scenario: A silent host keeps its share
    This guards against an epoch that hands out what a host holds that is only silent.

    Given a fleet with its first share epoch
    When a host is silent while the totals change and then returns
    Then its share was kept for it and it holds the same as before

  Scenario: A paused steward loses
    This guards against two outcomes of one epoch when a steward writes after a pause.

    Given a fleet with its first share epoch
    When the steward pauses in its write and another host moves the epoch on
    Then the paused write is refused and all hosts hold what the other wrote

  Scenario: A sealed host gives and takes nothing
    This guards against share that a host reports as its own and then gives to a silent host.

    Given a host that sealed its epoch
    Then a peer that asks it gets nothing and a late loan is ignored

  Scenario: A leaving host gives its share away
    This guards against share that is out of use until an epoch reclaims it, and against a leaving
    host that borrows it back.

    When one of nine hosts hands over its share
    Then it holds none a few seconds later and the others hold all

  Scenario: The cost of lending does not grow with the fleet
    This guards against a host that asks every other one when the fleet is large.

    When a host of a fleet of 920 is short for 10 seconds
    Then it sends at most 40 messages
