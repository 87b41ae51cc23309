Feature: Requests stay within the capacity of regions and targets

  Scenario: A step in demand settles within all slots
    This guards against hosts that meet at the same targets because load reports lag by seconds.

    Given nine hosts with three regions of 16 slots
    When demand at the hosts of one region rises tenfold
    Then no region or target ever has more requests than slots
    And hosts use at least 85% of the region's share

  Scenario: A lost region is left with the store down
    This guards against a failover that waits for the store, or one that overloads the others.

    Given nine hosts with three regions of 16 slots
    When all targets of attiki fail while the store is down
    Then requests at its hosts are served elsewhere within 3 seconds
    And no region or target ever has more requests than slots

  Scenario: Requests leave their region within the failover cap
    This guards against requests that pass the cap one by one while the weights keep to it.

    Given nine hosts with a failover cap of 0.2 in 30 seconds
    When the platform lists all targets of attiki as leaving
    Then at most 0.2 of the requests of its hosts went elsewhere in 10 seconds

  Scenario: A leaving target gets no new work
    This guards against a host that never probes a target and so never learns that it leaves.

    Given nine hosts with three regions of 16 slots
    When a target's health says leaving while requests arrive everywhere
    Then no host sends it a request after 3 seconds

  Scenario: Ejection takes at most half of the targets
    This guards against a fault of the host's own network that empties a region.

    Then for any results of attempts at most half of the targets are ejected
    And after five failures a target gets nothing for 5 seconds and then 10

  Scenario: A healthy report does not bring an ejected target back
    This guards against a health endpoint that misleads.

    Given a host that ejected a target
    When its health says live three times
    Then the target still takes no work

  Scenario: One old report does not bring a leaving target back
    This guards against a health endpoint that lags.

    Then a target that said leaving takes work again after the second live report in a row

  Scenario: A target starts slowly
    This guards against a cold target that gets its full load at once.

    Then a new target of 4 slots takes 1, 2 and 4 requests after 1, 15 and 30 seconds

  Scenario: Lower priority is shed first
    This guards against a service of low priority that takes the last share.

    Given three regions of 16 slots and a service of priority 2
    When demand at all hosts is far above the capacity
    Then of the 14.4 slots of a region it never uses more than 12

  Scenario: A dependency's slots are counted
    This guards against a service that overloads what it depends on.

    Then a request with half a call to a service that makes two calls costs 1000, 500 and 1000

  Scenario: A request borrows before it is shed
    This guards against a host that sheds while others hold free share, and against requests that
    wait for share without a limit of number or time.

    Given nine hosts of which one or all send to one region
    Then 90% of its share is in use before the first request is shed
    And of 200 requests at once that find no share all are shed within 200 ms, most of them at once
