Feature: Hosts place requests without coordination

  Scenario: Hosts agree on an object's targets
    This guards against hosts that send one object to different targets, which all run it uncached.

    When hosts that know the same targets in any order rank them for any object
    Then all hosts get the same order

  Scenario: Objects keep their targets when other targets are added or removed
    This guards against a change of one target that moves many objects to targets that do not know them.

    When one of several targets is removed
    Then only the objects that preferred it get another first target

  Scenario: Targets are preferred in proportion to their slots
    This guards against a small target that gets as many objects as a large one.

    When 4,000 objects are ranked over targets of 2, 4 and 6 slots
    Then the shares of first places are within 3 points of 1/6, 2/6 and 3/6

  Scenario: Region weights cover all objects and move as few as possible
    This guards against region weights that lose objects or move more to other regions than necessary.

    When the weights for any regions with any slots are computed
    Then the weights of each region add up to one and use only regions with slots
    And no region gives away more than it lacks capacity for
    And no region is utilized above the average

  Scenario: Requests of a confined route are never placed elsewhere
    This guards against requests that leave the regions in which they may be processed.

    When any targets in any regions and zones are ordered for a confined route
    Then every candidate is in an allowed region and in no evacuated zone

  Scenario: Objects with large exchanges stay in their zone as far as its capacity allows
    This guards against traffic between availability zones although a target in the zone is available.

    Given 300 objects and targets of 6, 3 and 3 slots in the zones of a region
    When each zone places the objects of a route with large exchanges
    Then the zone of 6 slots keeps all, and the others keep three quarters and give it the rest
    And each object has the same region as without large exchanges

  Scenario: Exchanges are classified as large by their mean size
    This guards against a decision based on a single unusual response.

    When a route's exchanges of 400 bytes include one of 6,000, and another's have 3,000 each
    Then the first is small and the second large after the fifth exchange

  Scenario: A full target is skipped, and requests are rejected if all targets are full
    This guards against queues so long that responses come too late.

    Given an object whose two targets have two slots each
    When requests for it arrive and none ends
    Then the first target takes 4, the second 2, and the next is rejected as overloaded

  Scenario: Less urgent requests are rejected first
    This guards against batch requests that crowd out urgent ones.

    Given an object whose two targets have two slots each
    When requests of priority 3 for it arrive and none ends
    Then the first target takes 3, the second 2, and the next is rejected as overloaded

  Scenario: Without object affinity, the less loaded target is used
    This guards against uneven load on routes where all targets are equivalent.

    Given an object whose two targets have two slots each
    When requests of a route without affinity arrive and none ends
    Then both targets take 4 in turn, and the next is rejected as overloaded

  Scenario: A slow target comes after the other one for a while
    This guards against requests that wait at a target that has become slow.

    Given an object whose two targets have two slots each
    And responses of both that took 0.2 s
    When three responses of the first target take 1.0 s
    Then the second target is chosen, and the first one again 8 s later

  Scenario: Overdue requests show that a target is slow before it responds
    This guards against a target that gets all requests for an object until they time out.

    Given an object whose two targets have two slots each
    And responses of both that took 0.2 s
    When two requests have been at the first target for 0.6 s
    Then the second target is chosen

  Scenario: A target with a queue is not considered slow
    This guards against moving objects away from a target that is merely busy.

    Given an object whose two targets have two slots each
    And responses of both that took 0.2 s
    When requests that found four others at the first target take 0.5 s
    Then the first target is chosen

  Scenario: First runs of objects do not make a target count as slow
    This guards against a target that is avoided because it gets objects that it does not know.

    Given an object whose two targets have two slots each
    And responses of both that took 0.2 s
    When the first target takes 0.7 s for each of ten new objects
    Then the first target is chosen

  Scenario: A target is avoided after three lost responses in a row, but not after one
    This guards against first runs of objects at other targets, which cost more than a lost response.

    Given an object whose two targets have two slots each
    And responses of both that took 0.2 s
    When the first target loses a response
    Then the first target is chosen
    When the first target loses two more responses
    Then the second target is chosen

  Scenario: An object whose targets are both slow is moved to a further target with free slots
    Given an object with four targets of two slots each
    And responses of all that took 0.2 s
    When three responses of its first two targets take 1.0 s
    Then its third target is chosen, and its first one when the others are full

  Scenario: A target that is down or was already tried is not chosen
    This guards against a retry at the same target.

    Given an object whose two targets have two slots each
    When its first target is down and its second one was tried
    Then the request is rejected because no target is available

  Scenario: All hosts together keep to a cold target's rate
    This guards against overload of a target that is warming up.

    When any number of hosts send to any cold target as fast as their rate limits allow
    Then no second has more requests than the rate that it tolerates

  Scenario: Partitioned hosts together keep to a cold target's rate
    This guards against hosts that count only those that they can reach.

    When hosts learn of each other in any order from lists that contain all hosts
    Then no second has more requests than the rate that it tolerates

  Scenario: All hosts together keep to the retry budget
    This guards against retries that multiply the load during an outage.

    When requests arrive and fail at hosts in any pattern
    Then no window has more retries than the limit allows

  Scenario: The services of a route get their shares
    This guards against a split that is correct only on average.

    When requests are distributed by any weights
    Then in every sequence each service gets its share to within one for each other service

  Scenario: A cold entry keeps a target cold, and a restart gives a new state
    This guards against counts and warm-up times that survive a restart under the same id.

    Given a registered target that is down
    When it registers again with another start time
    Then its state is new and cold for the announced time

  Scenario: An object whose targets are all down is sent to another target
    This guards against rejections while other targets of the service are idle.

    Given a service with targets in two regions of which those of the object are down
    When requests for the object are placed
    Then another target of the own region takes them, and one of the other region if none is up
