Feature: Real processes keep the promises under random faults

  Scenario Outline: A short soak
    This guards against faults that only show when several troubles overlap: kills, pauses, planned
    stops with signals in series, a store that misbehaves, harmed connections, targets that crash,
    drain, lose answers or hand their address to another service, manifests and evacuations.

    When the soak plays seed <seed> for <seconds> s on <hosts> hosts
    Then no promise is broken

    Examples:
      | seed | seconds | hosts |
      | 1    | 10      | 4     |
