Feature: Calls to the store do not grow with the fleet

  Scenario Outline: Hosts of a large region return
    Guards against followers that list the store because the hosts assigned to them have just started.

    Given a fleet of 3 regions with 65 hosts each that have the manifest
    When <lost> of the first region lose power for 5 s
    Then at most 2 hosts list the store while they return
    And all hosts have the next change 2 s after it

    Examples:
      | lost                 |
      | the hosts of a zone  |
      | both watchers        |
      | all hosts            |

  Scenario: Half of a large fleet restarts
    Guards against calls at the rate of the hosts that restart: each call is charged for.

    Given a fleet of 3 regions with 65 hosts each that have the manifest
    When half of all hosts lose power for 2 s
    Then at most a quarter of them list the store while they return
    And all hosts have the next change 2 s after it

  Scenario: A fleet starts
    Guards against calls to the store by each host that starts.

    When fleets of 3 regions with 16 and with 65 hosts each start for the first time
    Then both make the same number of calls to the store, and 6 hosts list it
