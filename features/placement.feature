Feature: Requests are placed without talk between hosts

  Scenario: Hosts agree on an object's targets
    This guards against hosts that send one object to different targets, each of which runs it cold.

    When hosts that know the same targets in any order rank them for any object
    Then all get the same order

  Scenario: An object stays where it is when other targets come and go
    This guards against a change of one target that makes many objects cold.

    When one of several targets leaves
    Then only the objects that preferred it get another first target

  Scenario: Targets are preferred in proportion to their slots
    This guards against a small target that gets as much as a large one.

    When 4,000 objects are ranked over targets of 2, 4 and 6 slots
    Then the shares of first places are within 3 points of 1/6, 2/6 and 3/6

  Scenario: The regions' parts are whole and sparing
    This guards against a region plan that loses objects or sends more away than it must.

    When any regions with any slots are planned
    Then each region's parts add up to one and use only regions with slots
    And no region gives away more than its own lack
    And no region ends above the common use

  Scenario: A route confined to regions is never placed elsewhere
    This guards against requests that leave the regions in which they may be processed.

    When any targets in any regions and zones are ordered for a confined route
    Then every candidate is in an allowed region and in no evacuated zone

  Scenario: Objects with large exchanges stay in their zone as far as its targets carry them
    This guards against bytes that cross availability zones for want of a target nearby.

    Given 300 objects and targets of 6, 3 and 3 slots in the zones of a region
    When each zone places the objects of a route with large exchanges
    Then the zone of 6 slots keeps all, and each other one three quarters and gives the rest to it
    And each object has the same region as without large exchanges

  Scenario: Exchanges count as large by their mean size
    This guards against a decision by one unusual answer.

    When a route's exchanges of 400 bytes include one of 6,000, and another's have 3,000 each
    Then the first is small and the second large after the fifth exchange

  Scenario: A full target is passed over and then refused
    This guards against queues in which answers come too late.

    Given an object whose two targets have two slots each
    When requests for it arrive and none ends
    Then the first target takes 4, the second 2, and the next is refused as overloaded

  Scenario: The less urgent are refused first
    This guards against batch work that crowds out urgent requests.

    Given an object whose two targets have two slots each
    When requests of priority 3 for it arrive and none ends
    Then the first target takes 3, the second 2, and the next is refused as overloaded

  Scenario: Without objects the emptier target is taken
    This guards against a full target beside an empty one on routes where any target will do.

    Given an object whose two targets have two slots each
    When requests of a route without objects arrive and none ends
    Then both targets take 4 in turn, and the next is refused as overloaded

  Scenario: A slow target comes after the other one for a while
    This guards against requests that wait at a target which has become slow.

    Given an object whose two targets have two slots each
    And answers of both that took 0.2 s
    When three answers of the first target take 1.0 s
    Then the second target is chosen, and the first one again 8 s later

  Scenario: Requests that are overdue show a slow target before it answers
    This guards against a target that takes all of an object's requests until they time out.

    Given an object whose two targets have two slots each
    And answers of both that took 0.2 s
    When two requests have been at the first target for 0.6 s
    Then the second target is chosen

  Scenario: A target with a queue isn't taken for slow
    This guards against moving objects away from a target that only has much to do.

    Given an object whose two targets have two slots each
    And answers of both that took 0.2 s
    When requests that found four others at the first target take 0.5 s
    Then the first target is chosen

  Scenario: Runs of new objects aren't taken for slow ones
    This guards against a target that is avoided because it gets objects that it does not know.

    Given an object whose two targets have two slots each
    And answers of both that took 0.2 s
    When the first target takes 0.7 s for each of ten new objects
    Then the first target is chosen

  Scenario: One lost answer is no reason to avoid a target, three in a row are
    This guards against runs of new objects elsewhere that cost more than a lost answer.

    Given an object whose two targets have two slots each
    And answers of both that took 0.2 s
    When the first target loses an answer
    Then the first target is chosen
    When the first target loses two more answers
    Then the second target is chosen

  Scenario: An object whose targets are both slow goes to a further one with room
    Given an object with four targets of two slots each
    And answers of all that took 0.2 s
    When three answers of its first two targets take 1.0 s
    Then its third target is chosen, and its first one when the others have no room

  Scenario: A target that is down or was tried is not chosen
    This guards against a second attempt at the same target.

    Given an object whose two targets have two slots each
    When its first target is down and its second one was tried
    Then the request is refused for want of a target

  Scenario: All hosts together keep to a cold target's rate
    This guards against a target that is crowded while it warms up.

    When any number of hosts send to any cold target as fast as their gates allow
    Then no second sees more than the rate it tolerates

  Scenario: Hosts that split still keep to a cold target's rate
    This guards against hosts that count only those they can reach.

    When hosts learn of each other in any order from lists that name all
    Then no second sees more than the rate it tolerates

  Scenario: All hosts together keep to the retry budget
    This guards against second attempts that multiply the load of an outage.

    When requests arrive and fail at hosts in any pattern
    Then no window holds more second attempts than the bound allows

  Scenario: Parts of a route get their shares
    This guards against a split that is true only on average.

    When any split is dealt out
    Then every run of requests gives each part its share to within one for each other part

  Scenario: A cold entry keeps a target cold and a new start makes a new state
    This guards against counts and coldness that survive a restart under the same id.

    Given a target that is known and down
    When it registers again with another time of birth
    Then its state is new and cold for as long as it says

  Scenario: An object whose targets are all down is taken elsewhere
    This guards against refusals while other targets of the service are idle.

    Given a service with targets in two regions of which those of the object are down
    When requests for the object are placed
    Then another target of the own region takes them, and one of the other region if none is up
