Feature: Traffic moves between regions within the caps

  Scenario: No window exceeds the cap
    This guards against traffic that moves faster than its cap when declarations change in
    succession, regions fail, hosts start with the weights of a peer, or a host was paused.

    When weights are declared, regions fail and hosts pause and start in any order
    Then no window of any cap had more than its fraction move

  Scenario: The effective weights converge to the declared ones
    This guards against a cap that stops a move permanently.

    When new weights are declared and ten times the duration of a full move passes
    Then the effective weights equal the declared ones

  Scenario: A paused host does not catch up after the pause
    This guards against one step that covers the whole length of a pause.

    When a host was paused for an hour while its weights moved
    Then its next step moves no more than a second of its cap

  Scenario: A flapping region
    This guards against traffic that oscillates with every short failure.

    Given a region whose targets fail for two seconds of every four
    Then it never counts as failed
    And it counts as failed three seconds after a lasting failure and as recovered ten after its end
