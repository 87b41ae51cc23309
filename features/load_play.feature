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
