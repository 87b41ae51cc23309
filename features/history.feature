Feature: The history checker detects each violated guarantee

  Scenario Outline: A history with a fault; guards against a checker that passes everything
    Given the history <history>
    Then the checker finds "<fault>"

    Examples:
      | history                               | fault                                          |
      | call a; run x; run x; end a done x    | ran 2 times                                    |
      | call a; run x; end a done y           | told done with bytes of no run                 |
      | call a; end a done x                  | told done with bytes of no run                 |
      | call a; run x; end a not_run          | told not run, but it ran                       |
      | call a; run x; end a unknown; call b; end b not_run | told not run, but it ran         |
      | call a; end a not_run; run x          | every call was told not run, but it ran        |

  Scenario Outline: A history without a fault; guards against false positives
    Given the history <history>
    Then the checker finds nothing

    Examples:
      | history                                                          |
      | call a; run x; end a done x; call b; end b done x                |
      | call a; end a not_run; call b; run x; end b done x               |
      | call a; run x; end a unknown; call b; end b unknown              |
      | call a; call b; end a not_run; call c; run x; end b not_run; end c done x |
