Feature: Real processes keep their promises under random faults

  Scenario Outline: A short soak
    This guards against failures that only occur when several faults overlap: kills, pauses, planned
    stops with repeated signals, store faults, disturbed connections, manifest changes, evacuations.
    Targets crash, drain, lose responses or hand their address over to another service. Customers'
    keys are replaced, also while hosts cannot read it, and one customer sends more than its quota.

    When the soak runs seed <seed> for <seconds> s on <hosts> hosts with <callers> callers and <behaviours>
    Then no promise is broken

    Examples:
      | seed | seconds | hosts | callers | behaviours |
      | 44   | 15      | 4     | 24      | leaving, refusing, endless |
      | 2    | 15      | 4     | 24      | cut                        |
      | 3    | 15      | 4     | 24      | customers                  |

  @long
  Scenario Outline: A seed that once broke a promise
    When the soak runs seed <seed> for <seconds> s on <hosts> hosts with <callers> callers and <behaviours>
    Then no promise is broken

    Examples: Cause: hosts read neither Server-Leaving nor Retry-After of targets.
      | seed | seconds | hosts | callers | behaviours |
      | 7    | 20      | 3     | 40      | leaving    |
      | 8    | 20      | 3     | 40      | leaving    |
      | 6    | 20      | 3     | 40      | refusing   |

    Examples: Cause: SIGHUP ends a host that has not set its handlers yet.
      | seed | seconds | hosts | callers | behaviours |
      | 4    | 20      | 3     | 40      | early      |

    Examples: Cause: SIGHUP ends a host after its event loop has closed at a planned stop.
      | seed | seconds | hosts | callers | behaviours      |
      | 22   | 20      | 4     | 24      | endless, series |

    Examples: Cause: open, a host did nothing for 1.4 s; the machine may have withheld its core.
      | seed | seconds | hosts | callers | behaviours |
      | 12   | 15      | 4     | 24      | endless    |

    Examples: Cause: the machine ran nothing for seconds, which counted for the end of stopped hosts.
      | seed | seconds | hosts | callers | behaviours                 |
      | 46   | 20      | 4     | 32      | leaving, refusing, endless |
