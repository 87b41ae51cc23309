Feature: Decisions are judged by what callers get under load

  The load is played with the product's own placement under virtual time; see standins/load_play.

  Scenario: Large exchanges stay in their zone
    This guards against paying for bytes between zones on every request, where a few runs of
    objects that are new to a target would do.

    Given the load of Suryatap at twice its usual rate for 20 s
    When it is played with objects of large exchanges placed in each zone and once in a region
    Then at most half of the bytes cross zones
    And at most one more run for each object and zone is of a new object

  Scenario: Callers lose less by slow targets
    This guards against waiting for slow targets while others have room.

    Given the load of Selokosmos at 1.2 times its usual rate for 20 s, 40% of diary 12 times slower
    When it is played with slow targets found out and not, from three seeds
    Then more credit is earned while the targets are slow, and as much before
