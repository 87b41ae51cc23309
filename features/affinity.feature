Feature: Objects stay at targets that know them when capacity or caches are short

  Scenario: Where targets get more objects than they cache, an object stays at its first target
    This guards against second targets that push out the objects that they know, until all runs are
    first runs.

    Given two targets of two slots each and requests for 80 objects
    When requests for a resident object arrive and none ends
    Then only its first target takes any, and the next is rejected as overloaded

  Scenario: Where targets cache all objects, a full first target passes requests on
    This guards against rejections while the other target has free slots and room in its cache.

    Given two targets of two slots each and requests for 8 objects
    When requests for a resident object arrive and none ends
    Then both targets take some, and the next is rejected as overloaded

  Scenario: An object that needs more than one target gets a second one
    This guards against a popular object that overloads its first target.

    Given two targets of two slots each and requests for 80 objects
    When 120 requests for a resident object arrive within 6 s
    Then an idle second target takes a request that would wait at the first one
    And another object that is requested once is spread over one target

  Scenario: Chance requests at one of many hosts do not spread an object
    This guards against a second target for each object of which two requests happen to meet at a
    host that stands for many.

    When an object is requested 3 times within 1 s at one of 20 hosts
    Then it is spread over one target

  Scenario: A request that a full target refused is not run elsewhere where caches are short
    This guards against retries that make another target forget an object.

    Given two targets of two slots each and requests for 80 objects
    When the first target of a resident object refuses a request since its queue is full
    Then the retry is rejected as overloaded
    And a retry after a lost response gets the second target

  Scenario: A target that seems slow keeps its objects where caches are short
    This guards against moving objects because their runs take longer when targets have forgotten them.

    Given two targets of two slots each and requests for 80 objects
    When the first target of a resident object takes 5 times as long three times
    Then the object stays at its first target

  Scenario: A request that would be answered after its deadline is rejected at once
    This guards against requests that wait at a target until their time is up, with an unknown outcome.

    Given two targets of two slots each and requests for 8 objects
    When three requests wait at both targets, whose runs take 0.4 s
    Then a request with 0.5 s left is rejected, and one with 2 s left is not

  Scenario: A target whose runs have become longer than requests may take gets some when it is idle
    This guards against a service that gets no request any more after its targets were slow, since only
    requests show that they no longer are.

    Given two targets of two slots each and requests for 8 objects
    When runs at both targets take 4 s and no request waits
    Then a request with 1 s left is sent to the first target

  Scenario: A request that would miss its objective waits for no slot where caches are short
    This guards against late requests that make those behind them late too.

    Given two targets of two slots each and requests for 80 objects
    When one request waits at the first target of a resident object, whose runs take 0.4 s
    Then a request with an objective of 0.5 s is rejected, and one of 2 s is not
    And a request with an objective of 0.1 s is sent if a slot is free

  Scenario: A slow moment of a target counts, but not for long
    This guards against requests sent to a target that is slow now, and against avoiding one that was.

    Given two targets of two slots each and requests for 8 objects
    When the first target reports that work takes 2.5 times as long
    Then its expected run is 2.5 times as long, and as usual 0.5 s later

  Scenario: An outdated report gives way to the usual load of a target
    This guards against hosts that take a busy target for idle when its last report is old.

    When a target of six slots reports 12 requests of other hosts ten times
    Then its load is about as reported 2.5 s after the last report, and 0 after 10 s

  Scenario: Objects of urgent requests stay cached
    This guards against urgent requests that run as first runs because of less urgent ones.

    When 40 objects of priority 0 and 160 of priority 2 are requested, of which 72 fit the caches
    Then all objects of priority 0 are resident, and a fifth of the others
    And hosts that know the same objects name the same ones

  Scenario: An object that is not resident runs only in a free slot
    This guards against objects beyond the caches that push out or delay those in them when capacity is
    short.

    Given two targets of two slots each and requests for 80 objects
    When requests for an object that is not resident arrive while its first target is busy
    Then a third of them waits there, and the others are rejected as overloaded

  Scenario: Objects with large exchanges have one target in a region where caches are short
    This guards against objects that take the place of others in the caches of each zone.

    Given two targets in different zones and requests for 8 or 80 objects with large exchanges
    When the hosts of both zones choose targets for the objects
    Then with 8 objects each zone uses its own target, and with 80 both use the same

  Scenario: Objects that are not resident are served too
    This guards against an object, or a customer with few, that is rejected as long as capacity is short.

    When an object that is not resident is requested 30 times
    Then a third of its requests are placed as those for resident objects

  Scenario: The number of objects is estimated from few requests
    This guards against a host of many that sees each object rarely and takes the caches for large
    enough.

    When 300 of 2,000 equally popular objects are requested at a host
    Then it estimates between 1,000 and 4,000 objects

  Scenario: Any number of objects takes bounded memory
    This guards against callers that exhaust a host's memory with ever new objects.

    When 50,000 different objects are requested
    Then fewer than 5,000 are kept
