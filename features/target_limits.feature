Feature: Targets in need get no more requests than they name

  Scenario: A target that names a limit in its responses gets no more requests than it allows
    Guards against requests that a target in need has to turn away, or breaks down under (LIMIT).

    Given a target that names a limit of 2 requests a second, and one that responds
    When callers send 20 requests a second for 5 s that prefer the first target
    Then the first target got at most 17 requests in any 4 s
    And every caller got a response
