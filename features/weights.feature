Feature: Traffic moves between regions within the caps

  Scenario: No window sees more than the cap
    This guards against traffic that moves faster than its cap when declarations follow each
    other, regions fail, hosts start with the weights of a peer, or a host was paused.

    When weights are declared, regions fail and hosts pause and start in any order
    Then no window of any cap saw more than its fraction move

  Scenario: Weights arrive where they are declared
    This guards against a cap that stops a move for ever.

    When new weights are declared and ten times the full move's time passes
    Then the effective weights are those declared

  Scenario: A paused host continues from where it was
    This guards against a pause whose whole length is made up for in one step.

    When a host was paused for an hour while its weights moved
    Then its next step moves no more than a second of its cap

  Scenario: A region that comes and goes
    This guards against traffic that swings with every short failure.

    Given a region whose targets fail for two seconds of every four
    Then it never counts as failed
    And it counts as failed three seconds after they fail for good and as back ten after their return
