Feature: Requests stay within the capacity of regions and targets

  Scenario: A step in demand stays within all slot limits
    This guards against hosts that overload the same targets because load reports lag by seconds.

    Given nine hosts with three regions of 16 slots
    When demand at the hosts of one region rises tenfold
    Then no region or target ever has more requests than slots
    And hosts use at least 85% of the region's share

  Scenario: Traffic leaves a failed region while the store is down
    This guards against a failover that depends on the store or overloads the other regions.

    Given nine hosts with three regions of 16 slots
    When all targets of attiki fail while the store is down
    Then requests at its hosts are served in other regions within 3 seconds
    And no region or target ever has more requests than slots

  Scenario: Spillover of requests stays within the failover cap
    This guards against individual requests that exceed the cap although the weights respect it.

    Given nine hosts with a failover cap of 0.2 in 30 seconds
    When the platform lists all targets of attiki as leaving
    Then at most 0.2 of the requests at its hosts went to other regions in 10 seconds

  Scenario: A leaving target receives no new requests
    This guards against a host that never probes a target and does not learn that it leaves.

    Given nine hosts with three regions of 16 slots
    When a target reports that it leaves while requests arrive at all hosts
    Then no host sends it a request after 3 seconds

  Scenario: Ejection covers at most half of the targets
    This guards against a network fault of one host that ejects all targets of a region.

    Then at most half of the targets are ejected for any sequence of attempt results
    And after five failures a target is ejected for 5 seconds and then for 10

  Scenario: A healthy report does not end an ejection
    This guards against a health endpoint that reports a failing target as live.

    Given a host that ejected a target
    When it reports three times that it is live
    Then the target still receives no requests

  Scenario: A single outdated report does not reinstate a leaving target
    This guards against a health endpoint that returns outdated reports.

    Then a leaving target receives requests again after the second live report in a row

  Scenario: A new target begins with slow start
    This guards against full load on a cold target.

    Then a new target of 4 slots takes 1, 2 and 4 requests after 1, 15 and 30 seconds

  Scenario: Lower priority is shed first
    This guards against a low-priority service that uses up the share.

    Given three regions of 16 slots and a service of priority 2
    When demand at all hosts is far above the capacity
    Then of the 14.4 slots of a region the service never uses more than 12

  Scenario: The cost of a request includes the slots of its dependencies
    This guards against a service that overloads its dependencies.

    Then a request with half a call to a service that makes two calls costs 1000, 500 and 1000

  Scenario: A request borrows share before it is shed
    This guards against a host that sheds while others hold free share, and against requests that
    wait for share without a limit on their number or time.

    Given nine hosts, of which one or all send requests to one region
    Then 90% of the share of the region is in use before the first request is shed
    And of 200 concurrent requests without share all are shed within 200 ms, most of them at once
