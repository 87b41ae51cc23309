Feature: Look-ups return hosts near the caller

  Scenario: Look-ups answered with hosts of other regions are logged and counted
    Guards against requests that leave their region without a log line or metric that explains it.

    Given hosts in attiki and makedonia, and none in kriti
    When a caller in kriti looks up hosts 3 times, and once more after a host of kriti has joined
    Then one log line reports that hosts of attiki and makedonia were returned, and one the end after 3
    And 3 look-ups are counted as answered with hosts of other regions

  Scenario: A host that has just started directs no caller to another region
    Guards against a starting host that knows few members and so directs callers of a running region
    to other regions.

    Given hosts in attiki and makedonia, and none in kriti
    When a caller in kriti looks up hosts at a host of kriti that is starting, and again when it is ready
    Then no host is returned at first, and then the host of kriti

  Scenario: Callers of a region without hosts are directed to other regions
    Given hosts in attiki and makedonia, and none in kriti
    When a caller in kriti looks up hosts at a host that is ready
    Then the hosts of attiki and makedonia are returned

  Scenario: Unknown regions in look-ups use no memory
    Guards against memory and logs that grow with the region names that callers send in look-ups.

    Given hosts in attiki and makedonia, and none in kriti
    When callers look up hosts from 1000 regions that do not exist, at a host that is ready
    Then at most 2 log lines report it and 1 counter is kept

  Scenario Outline: All hosts near a caller are suspected, <others>
    Guards against callers who are told of lost hosts only, for as long as their loss is not certain.

    Given hosts in attiki and makedonia, and none in kriti
    When the hosts of <suspected> are suspected and a caller in attiki-a looks up hosts
    Then <returned> are returned, in this order

    Examples:
      | others                     | suspected                          | returned                            |
      | others of the region run   | attiki-a                           | attiki-b, attiki-a                  |
      | others of other regions    | attiki-a, attiki-b                 | makedonia-a, attiki-a               |
      | and so are all others      | attiki-a, attiki-b, makedonia-a    | attiki-a                            |
      | but one of them is not     | attiki-b                           | attiki-a                            |
