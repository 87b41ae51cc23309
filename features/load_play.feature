Feature: Placement decisions are evaluated by simulated load

  The simulation uses the product's placement code under virtual time, see standins/load_play.

  Scenario: Large exchanges stay in their zone
    This guards against paying for traffic between zones on every request, where a few first runs
    of objects at further targets would avoid it.

    Given the load of Suryatap at twice its usual rate for 20 s
    When it is simulated with large-exchange objects placed per zone and once per region
    Then at most half of the bytes cross zone boundaries
    And there is at most one additional first run for each object and zone

  Scenario: Detection of slow targets improves the credit that callers earn
    This guards against waiting for slow targets while others have free slots.

    Given the load of Selokosmos at 1.2 times its usual rate for 20 s, 40% of diary 12 times slower
    When it is simulated with and without slow-target detection, from three seeds
    Then the credit is higher while the targets are slow, and as high before

  Scenario: The large fleet serves a burst without further first runs
    This guards against placing objects on more targets than their requests need: a first run of an
    object takes longer than the callers' objective.

    Given the load of the large fleet of Selokosmos for 24 s, at 1.7 times its rate from 8 s to 11 s
    When it is simulated with the product's placement, from three seeds
    Then no caller is rejected
    And an object is run first on at most a quarter more targets than there are objects
    And no kind of request is in time less often than a less urgent one of its service by over 0.15

  Scenario Outline: Deployment <name> with more objects than its targets cache
    This guards against a system in which most runs are first runs, because objects are sent to
    targets that then forget others, and in which requests wait in queues until their timeout.

    Given the load of deployment <name> for 30 s, <load> times a quarter of it on an eighth of the fleet
    When it is simulated with the product's placement, from three seeds
    Then the credit is at least <credit>, and at most <failed> of the requests end without a response
    And no kind of request and no zone gets less than a quarter of the credit of all

    Examples:
      | name | load | credit | failed |
      | K    | 1    | 0.72   | 0.02   |
      | K    | 1.6  | 0.64   | 0.04   |
      | L    | 1    | 0.37   | 0.15   |

  Scenario Outline: Deployment <name> at its usual load
    This guards against rejections and further first runs where capacity and caches suffice.

    Given the load of deployment <name> for 10 s
    When it is simulated with the product's placement, from three seeds
    Then the credit is at least <credit>, and at most <failed> of the requests end without a response
    And at most 1 in 200 callers is rejected

    Examples:
      | name | credit | failed |
      | K    | 0.90   | 0.005  |
      | L    | 0.79   | 0.06   |
